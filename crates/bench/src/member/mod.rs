//! Stand-in for a member of a database group: a PostgreSQL-protocol server on SQLite with a
//! replicated log and the platform's verbs.

mod connection;
pub mod control;
pub mod datum;
mod engine;
mod error;
mod executor;
mod gate;
mod group;
mod infer;
mod log;
mod outbox;
mod prepared;
mod pull;
mod recording;
mod role;
mod schema;
mod select_list;
pub mod server;
mod session;
pub mod settings;
mod shared;
mod sql;
mod startup;
mod storage;
mod translate;
mod variables;
mod verbs;

pub use error::SqlError;
pub use recording::Recording;
pub use recording::Startup;
pub use recording::Statement;
pub use role::Role;

//! Enforces the contracts: the rate of statements and the number of connections to each endpoint.

pub mod channel;
pub mod connection_permit;
mod driver;
mod handle;
pub mod limit_error;
mod member_queue;
mod rate_queue;
mod seat_task;
pub mod settings;
mod shared;
mod table;

pub use connection_permit::ConnectionPermit;
pub use handle::Limits;
pub use limit_error::LimitError;

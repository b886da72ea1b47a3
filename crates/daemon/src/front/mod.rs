//! Accepts client connections and serves their sessions.

mod answer;
mod auth;
mod batch;
pub(crate) mod cancel;
mod client;
pub mod context;
mod dispatch;
mod exchange;
mod execute;
pub mod listener;
mod message;
mod own;
mod recorded;
mod refusal;
mod relay;
mod request;
pub(crate) mod retries;
mod session;
mod startup;
mod step;
pub mod tls;

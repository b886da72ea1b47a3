//! Accepts callers and serves their sessions.

mod auth;
mod batch;
pub(crate) mod cancel;
mod client;
pub mod context;
mod execute;
pub mod listener;
mod message;
mod own;
mod refusal;
mod relay;
mod session;
mod startup;
mod step;
pub mod tls;

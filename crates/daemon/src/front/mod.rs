//! Accepts client connections and serves their sessions.

mod auth;
mod batch;
pub(crate) mod cancel;
mod client;
mod completion;
pub mod context;
mod dispatch;
mod exchange;
mod execute;
pub mod listener;
mod message;
mod pipeline;
mod proxy_commands;
mod recorded_answer;
mod refusal;
mod relay;
mod request_id;
pub(crate) mod retry_budgets;
mod session;
mod startup;
pub mod tls;

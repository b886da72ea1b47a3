//! Administration API.

pub mod api;
pub mod context;
pub mod edit;
pub mod error;
pub mod hooks;
pub mod refused;
pub mod rules;
pub mod server;
pub mod start_error;

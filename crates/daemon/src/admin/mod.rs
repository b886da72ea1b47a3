//! Administration API.

pub mod api;
pub mod context;
pub mod edit;
pub mod error;
pub mod error_response;
pub mod hooks;
pub mod rules;
pub mod server;
pub mod start_error;

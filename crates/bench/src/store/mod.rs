//! Stand-in for the platform's object store.

pub mod api;
pub mod call_error;
pub mod counts;
pub mod fault;
pub mod objects;
pub mod server;
pub mod settings;
pub mod start_error;

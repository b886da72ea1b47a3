//! Pooled connections to endpoints.

pub mod connection;
pub(crate) mod connection_count;
mod connection_slot;
pub mod member_pool;
pub mod open_error;
pub mod pooled_connection;
pub(crate) mod socket;

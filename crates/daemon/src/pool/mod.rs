//! Pooled connections to endpoints.

pub mod connection;
pub mod lease;
pub mod member_pool;
pub(crate) mod open_count;
pub mod open_error;
mod open_slot;
pub(crate) mod socket;

//! Connections to the members of services.

pub mod channel;
pub mod channel_handle;
pub mod connection;
pub mod connection_error;
pub mod control;
pub mod guard;
pub mod lease;
pub mod pool;
pub mod pool_table;
pub mod slot;

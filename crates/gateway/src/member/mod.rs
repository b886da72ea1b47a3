//! Connections to the members of services, and the channels that run statements on them.

pub mod channel;
pub mod channel_handle;
pub mod channel_log;
pub mod connection;
pub mod connection_error;
pub mod connection_queue;
pub mod control;
pub mod drop_guard;
pub mod member_pace;
pub mod paced_statement;
pub mod pool;
pub mod pool_table;
pub mod pooled_connection;
pub mod send_check;
pub mod slot;
pub mod slot_queue;
pub mod slot_request;

//! Protocol-neutral session engine: client sessions, connections to members, and the state that
//! hosts share through the platform's store.

pub mod bounded_call;
pub mod bounded_call_error;
pub mod client_memory;
pub mod clock;
pub mod failover;
pub mod front;
pub mod gateway;
pub mod held_bytes;
pub mod host_table;
pub mod log_limit;
pub mod log_queue;
pub mod log_text;
pub mod logs;
pub mod member;
pub mod mesh;
pub mod metrics;
pub mod metrics_server;
pub mod model;
pub mod node;
pub mod platform;
pub mod policy;
pub mod primary_use;
pub mod promote_error;
pub mod quota_tokens;
pub mod rate_handover;
pub mod read_floors;
pub mod report_error;
pub mod settings;
pub mod shutdown_stage;
pub mod socket;
pub mod start_error;
pub mod store_error;
pub mod usage;
pub mod view;
pub mod wire_error;

//! Protocol-neutral session engine: sessions, member connections, and what hosts agree on through
//! the platform's store.

pub mod clock;
pub mod duty;
pub mod floor_keeper;
pub mod front;
pub mod gateway;
pub mod log_limit;
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
pub mod quota_keeper;
pub mod settings;
pub mod socket;
pub mod stage;
pub mod start_error;
pub mod store_error;
pub mod view;
pub mod wire_error;

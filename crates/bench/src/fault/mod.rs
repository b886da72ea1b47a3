//! Fault-injecting proxy for TCP and UDP links.
//!
//! Each link forwards from its own listen address to a target. The HTTP API changes the faults of
//! a link while the proxy runs.

pub mod api;
pub mod client;
pub mod client_error;
pub mod error;
pub mod link;
pub mod link_counters;
pub mod link_report;
pub mod link_settings;
pub mod mode;
pub mod protocol;
pub mod proxy;
pub mod settings;
mod socket_inode;
pub mod source;
pub mod sources;
pub mod state;
mod tcp;
pub mod traffic_action;
mod udp;

//! Entry daemon: SQL front end, connection pools, relay, control mesh and administration API.

pub mod admin;
pub mod command_stats;
pub mod config;
pub mod confirm;
pub mod control_runtime;
pub mod daemon;
pub mod databases;
pub mod drains;
pub mod election;
pub mod front;
pub mod limits;
pub mod member_commands;
pub mod mesh;
pub mod metrics;
pub mod monitor;
pub mod peers;
pub mod pool;
pub mod reporter;
pub mod settings;
pub mod switchover;
pub mod wire;

//! Entry daemon: SQL front, pools, relay, control mesh and administration API.

pub mod admin;
pub mod config;
pub mod election;
pub mod front;
pub mod limits;
pub mod mesh;
pub mod monitor;
pub mod pool;
pub mod settings;

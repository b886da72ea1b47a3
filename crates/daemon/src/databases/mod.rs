//! Database groups of the configuration, with their pools, probes and background tasks.

pub mod database;
pub mod gate;
mod leaving;
pub mod registry;

//! Simulated fleet: hosts with their own clocks, a lossy network and a store with outages.
// Each test binary compiles this module and uses a part of it.
#![allow(dead_code, unreachable_pub)]

pub mod checker;
pub mod host;
pub mod network;
pub mod world;

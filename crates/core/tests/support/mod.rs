//! Simulated fleet: hosts with separate clocks, a lossy network and a store with outages.
// Each test binary compiles this module but uses only parts of it.
#![allow(dead_code, unreachable_pub)]

pub mod checker;
pub mod host;
pub mod network;
pub mod simulation;

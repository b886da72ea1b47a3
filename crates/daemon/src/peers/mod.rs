//! Exchanges configuration, observations and switchover orders with the other hosts by the control
//! mesh.

pub mod announce;
pub mod exchange;
pub mod fleet;
pub mod observations;

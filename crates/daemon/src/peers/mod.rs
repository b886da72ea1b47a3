//! Exchanges configuration, opinions and switchover orders with the other hosts by the control
//! mesh.

pub mod announce;
pub mod exchange;
pub mod fleet;
pub mod opinions;

//! Tracks the drains of endpoints, hosts and data centres that are taken out of service, until
//! their work on this host has ended.

mod handle;
mod work;

pub use handle::DrainTracker;
pub use handle::spawn;
pub use work::WorkGuard;

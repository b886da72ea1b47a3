//! Primary monitoring and failover, which one host carries out for each service.

pub mod promoter;
pub mod watch_primary;

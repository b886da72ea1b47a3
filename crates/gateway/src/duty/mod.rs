//! Duties that one host carries out for all.

pub mod promoter;
pub mod watch_primary;

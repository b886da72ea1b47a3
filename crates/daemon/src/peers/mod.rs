//! Joins the control mesh to configuration, elections and limits.

pub mod announce;
pub mod exchange;
pub mod fleet;
pub mod opinions;

//! Probes the members of each database group.

pub mod group;
mod probe;

pub(crate) use probe::spawn;

//! This host's view: a copy of the store, with the time at which it was last known to be current.

pub mod eras;
pub mod follower;
pub mod host_cleanup;
pub mod host_processes;
pub mod kind_view;
pub mod registration;
pub mod removal_log;
pub mod startup;
pub mod view_reports;
pub mod view_state;

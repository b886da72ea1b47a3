//! This host's copy of the store, with the time at which it was current.

pub mod follower;
pub mod kind_view;
pub mod registry;
pub mod view_reports;
pub mod view_state;

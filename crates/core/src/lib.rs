//! Decisions of the proxy as plain state machines.
//!
//! Inputs are typed events and the time now; outputs are typed actions. Nothing here performs
//! I/O, reads a clock or draws random numbers other than those passed in.

pub mod election;
pub mod group_view;
pub mod ids;
pub mod member_view;
pub mod position;
pub mod suspicion;
pub mod verb;

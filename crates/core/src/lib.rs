//! Decisions of the proxy as plain state machines.
//!
//! Inputs are typed events and the time now; outputs are typed actions. Nothing here performs
//! I/O, reads a clock or draws random numbers other than those passed in.

pub mod class;
pub mod classify;
pub mod confirm;
pub mod group_view;
pub mod hold;
pub mod ids;
pub mod link;
pub mod member_view;
pub mod outcome;
pub mod position;
pub mod position_ring;
pub mod prepared;
pub mod role;
pub mod route;
pub mod session;
pub mod token;
pub mod variable;
mod words;

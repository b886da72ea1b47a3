//! Decisions of the proxy as plain state machines.
//!
//! Inputs are typed events and the time now; outputs are typed actions. Nothing here performs
//! I/O, reads a clock or draws random numbers other than those passed in.

pub mod amount;
pub mod bucket;
pub mod claim;
pub mod coordinator;
pub mod demand;
pub mod fair_queue;
pub mod group_view;
pub mod heartbeat;
pub mod ids;
pub mod lending;
pub mod limit;
pub mod loan;
pub mod max_min;
pub mod member_view;
pub mod message;
pub mod position;
pub mod rendezvous;
mod renewal;
pub mod retry_budget;
pub mod seat;
pub mod seat_peer;
pub mod seat_table;
pub mod share;

//! Decision logic of the proxy as state machines without I/O.
//!
//! The state machines take typed events and the current time and return typed actions. They perform
//! no I/O, read no clock and use no randomness except what is passed in.

pub mod amount;
pub mod classify;
pub mod confirm;
pub mod connection_state;
pub mod coordinator;
pub mod demand;
pub mod drain;
pub mod election;
pub mod failure_detector;
pub mod fair_queue;
pub mod group_view;
pub mod heartbeat;
pub mod ids;
mod keywords;
pub mod lending;
pub mod limit;
pub mod loan;
pub mod max_min;
pub mod member_command;
pub mod member_view;
pub mod message;
pub mod outcome;
pub mod position;
pub mod position_history;
pub mod prepared;
pub mod primary_wait;
pub mod rendezvous;
mod renewal;
pub mod retry_budget;
pub mod role;
pub mod route;
pub mod seat;
pub mod seat_peer;
pub mod seat_table;
pub mod seat_update;
pub mod session;
pub mod share;
pub mod statement_class;
pub mod token;
pub mod token_bucket;
pub mod variable;

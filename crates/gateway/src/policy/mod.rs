//! Decisions without I/O, clock or randomness of their own.

pub mod admission;
pub mod backoff;
pub mod bounds;
pub mod callers;
pub mod cold_start;
pub mod connection_plan;
pub mod homes;
pub mod quota;
pub mod read_floor;
pub mod readers;
pub mod replica_choice;
pub mod restart;
pub mod succession;
pub mod successor;

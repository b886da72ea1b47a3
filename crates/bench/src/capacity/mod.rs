//! Measures the cost of control and of statements in daemons, for docs/CAPACITY.md.

pub mod clients;
pub mod error;
pub mod events;
pub mod fleet_size;
pub mod idle;
pub mod report;
pub mod run;
pub mod sample;

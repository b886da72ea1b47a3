//! Measures what daemons spend on control and on statements, for docs/CAPACITY.md.

pub mod clients;
pub mod error;
pub mod events;
pub mod idle;
pub mod report;
pub mod run;
pub mod sample;
pub mod size;

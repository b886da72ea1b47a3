//! Open-loop load and experiment tool.

pub mod allowance;
pub mod answer;
pub mod arrivals;
mod attempt;
pub mod connection;
pub mod error;
pub mod failure;
pub mod organisation;
pub mod sample;
pub mod session;
pub mod statement;
pub mod target;

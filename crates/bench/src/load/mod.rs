//! Load generator and experiment runner. The load is open-loop: operations are due at times that do
//! not depend on how fast earlier ones are answered.

pub mod answer;
pub mod arrivals;
mod attempt;
pub mod collector;
pub mod comparison;
pub mod connection;
pub mod error;
pub mod experiment;
pub mod failover;
pub mod failure;
pub mod fault_plan;
pub mod injector;
pub mod organisation;
pub mod phase;
pub mod prepare;
pub mod read_share;
pub mod report;
pub mod run;
pub mod sample;
pub mod scenario;
pub mod session;
pub mod statement;
pub mod summary;
pub mod target;
pub mod token_bucket;

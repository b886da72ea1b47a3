//! Histories of concurrent operations, and a checker of the guarantees.
//!
//! A history holds one record per operation. The checker reports only violations that the records
//! prove:
//! an operation of unknown outcome may have run or not, and its effect may appear at any time
//! after its invocation.

mod audits;
pub mod checker;
pub mod error;
pub mod file;
pub mod operation;
pub mod outcome;
pub mod rate_limit;
pub mod record;
mod rows;
pub mod verdict;
pub mod violation;
mod window;

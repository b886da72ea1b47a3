//! Switchover: planned replacement of a working primary.
//!
//! The daemon that executes a switchover announces it. Every daemon then sends no new work to the
//! primary, holds new statements and reports the work that it still has there. Once no work
//! remains or a timeout has expired, and the chosen replica has received the whole log, an election
//! promotes the replica. Safety does not depend on this procedure: an election preserves every
//! confirmed write.

mod candidate;
pub mod execute;
pub mod gate_updates;
pub mod maintenance;
pub mod orders;

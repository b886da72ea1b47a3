//! Planned changes of primary.
//!
//! The daemon that orders a change announces it. Every daemon then gives the primary no new work,
//! holds new statements and reports the work that it still has there. Once none is left, or at a
//! time limit, and the chosen replica has received the whole log, an election promotes it.
//! Safety does not depend on any of this: an election keeps every confirmed write.

mod candidate;
pub mod duty;
pub mod follow;
pub mod order;
pub mod orders;

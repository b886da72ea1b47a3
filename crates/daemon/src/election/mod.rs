//! Replaces a failed primary.
//!
//! One task per database group joins the group's view, the peers' opinions and the member's verbs
//! to the state machines `suspicion` and `election` of the core crate. It also points members at
//! the primary that have missed its election.

mod command;
mod inputs;
mod row;
mod task;

pub use command::Command;
pub use inputs::Avoid;
pub use inputs::CallError;
pub use inputs::Elected;
pub use inputs::Inputs;
pub use inputs::VerbCall;
pub use row::RowError;
pub use row::answer;
pub use row::sql;
pub use row::status;
pub use row::status_sql;
pub use task::Handle;
pub use task::spawn;

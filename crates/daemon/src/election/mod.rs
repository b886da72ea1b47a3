//! Replaces a failed primary.
//!
//! One task per database group feeds the group's view and the peers' observations to the state
//! machines `failure_detector` and `election` of the core crate and executes the resulting commands
//! on the members. It also makes members that missed an election follow the new primary.

mod command;
mod inputs;
mod row;
mod task;

pub use command::Command;
pub use inputs::CallError;
pub use inputs::CommandCaller;
pub use inputs::Elected;
pub use inputs::Inputs;
pub use inputs::OutOfService;
pub use row::RowError;
pub use row::answer;
pub use row::sql;
pub use row::status;
pub use row::status_sql;
pub use task::Handle;
pub use task::spawn;

//! Starts the processes of a test or experiment and reads back their addresses.

pub mod binaries;
pub mod error;
pub mod fleet;
pub mod links;
pub mod members;
pub mod objects;
pub mod plan;
pub mod process;
pub mod tls;

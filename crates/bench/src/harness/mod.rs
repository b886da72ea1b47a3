//! Starts the processes of a test or experiment and reads back their addresses.

pub mod binaries;
pub mod error;
pub mod objects;
pub mod process;
pub mod tls;

//! The operator's command line: its arguments, commands and output.

pub mod arguments;
pub mod commands;
pub mod error;
pub mod options;
pub mod output;
pub mod report;
pub mod request;
pub mod run;
pub mod settings;

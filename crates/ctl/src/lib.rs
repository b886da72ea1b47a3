//! Commands of the operator's command line.

pub mod arguments;
pub mod commands;
pub mod error;
pub mod options;
pub mod output;
pub mod report;
pub mod request;
pub mod run;
pub mod settings;

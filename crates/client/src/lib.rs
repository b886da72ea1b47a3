//! Code shared by the binaries: settings files, the client and object kinds of the platform's
//! store, the administration API's types, logging setup and the readiness line.

pub mod admin;
pub mod change_id;
pub mod config_patch;
pub mod config_view;
pub mod exit_code;
pub mod keys;
pub mod logs;
pub mod objects;
pub mod ready;
pub mod settings;
pub mod settings_error;
pub mod store;
pub mod store_error;

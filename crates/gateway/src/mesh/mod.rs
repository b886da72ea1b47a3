//! Calls between hosts: one connection in each direction, many calls on it.

pub mod call_error;
pub mod frame;
pub mod link;
pub mod mesh_handle;
pub mod server;

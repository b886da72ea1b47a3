//! Calls between hosts. Each host opens one connection to each other host and multiplexes its calls
//! on it.

pub mod call_error;
pub mod frame;
pub mod frame_codec;
pub mod frame_queue;
pub mod link;
pub mod mesh_handle;
pub mod peer_connection;
pub mod server;

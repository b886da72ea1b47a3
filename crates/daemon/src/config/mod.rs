//! Keeps the configuration view current from the store and from peers.

pub mod announcer;
pub mod backoff;
pub mod handle;
pub mod stamp;
mod watcher;

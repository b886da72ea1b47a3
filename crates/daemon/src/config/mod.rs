//! Keeps the configuration view up to date from the store and from peers.

pub mod announcer;
pub mod backoff;
pub mod freshness;
pub mod handle;
mod watcher;

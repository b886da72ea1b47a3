//! Keeps the configuration view current from the store and from peers.

pub mod follow;

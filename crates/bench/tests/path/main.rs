//! Guards against faults of the entry daemon's data path, with real processes and stand-ins.

mod bad_input;
mod basics;
mod edges;
mod failover;
mod lifecycle;
mod requests;
mod routing;
mod sessions;
mod support;

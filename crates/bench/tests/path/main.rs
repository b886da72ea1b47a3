//! Guards against faults of the entry daemon's data path, with real processes and stand-ins.

mod basics;
mod lifecycle;
mod routing;
mod sessions;
mod support;

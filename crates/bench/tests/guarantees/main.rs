//! Guards the guarantees of the design page under faults, with several daemons, a database group
//! and the store behind the fault proxy.

mod limits;
mod own_writes;
mod support;
mod survival;

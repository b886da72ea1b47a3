//! Where and as whom a caller connects.

use std::net::SocketAddr;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::ids::RouteId;

/// An entry daemon as callers see it.
#[derive(Debug, Clone)]
pub struct Entry {
    pub host: HostId,
    pub sql: SocketAddr,
}

/// As whom a caller connects.
#[derive(Debug, Clone)]
pub struct Caller {
    pub organisation: OrganisationId,
    pub route: RouteId,
    pub key: String,
}

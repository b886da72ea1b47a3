//! Address and identity with which a caller connects.

use std::net::SocketAddr;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::ids::RouteId;

/// A host to which callers connect, and the address of its daemon's SQL listener.
#[derive(Debug, Clone)]
pub struct EntryHost {
    pub host: HostId,
    pub sql_address: SocketAddr,
}

/// Identity of a caller: organisation, route and API key.
#[derive(Debug, Clone)]
pub struct Caller {
    pub organisation: OrganisationId,
    pub route: RouteId,
    pub key: String,
}

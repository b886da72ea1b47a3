//! A member of a service, as recorded for hosts that have not seen its registration.

use std::net::SocketAddr;

use magnoliahatch_core::ids::MemberId;
use serde::Deserialize;
use serde::Serialize;

/// A member that may hold acknowledged commits, also while it has no registration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownMember {
    pub member: MemberId,
    /// A member that is registered at this address later has taken over the log.
    pub address: SocketAddr,
}

impl KnownMember {
    /// Whether this registered member is the other one or its successor.
    pub fn replaces(&self, other: &Self) -> bool {
        self.member == other.member || self.address == other.address
    }
}

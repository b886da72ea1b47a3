//! Assigns each member's connections to one host.

use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::rendezvous;

/// A host that may hold a member's connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub host: HostId,
    pub data_centre: DataCentreId,
    pub region: String,
}

/// Host that holds the connections to a member: one in its data centre, else in its region, else
/// any. Connections are scarce, and one holder lets all callers share them.
pub fn home<'a>(
    member: &str,
    data_centre: &str,
    region: &str,
    hosts: &'a [Candidate],
) -> Option<&'a HostId> {
    let nearest = |test: &dyn Fn(&Candidate) -> bool| -> Option<&'a HostId> {
        let near: Vec<&Candidate> = hosts.iter().filter(|h| test(h)).collect();
        let name = rendezvous::owner(member, near.iter().map(|h| h.host.as_str()))?;
        near.iter().find(|h| h.host == name).map(|h| &h.host)
    };
    nearest(&|h| h.data_centre == data_centre)
        .or_else(|| nearest(&|h| h.region == region))
        .or_else(|| nearest(&|_| true))
}

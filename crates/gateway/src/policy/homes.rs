//! Assigns the connections of each member to one host, its home.

use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::rendezvous;

/// A host that may become the home of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub host: HostId,
    pub data_centre: DataCentreId,
    pub region: String,
}

/// Returns the host that holds the connections to a member: one in the member's data centre, else
/// in its region, else any. Connections are scarce, and a single holder lets all clients share
/// them.
pub fn home<'a>(
    member: &str,
    data_centre: &str,
    region: &str,
    hosts: &'a [Candidate],
) -> Option<&'a HostId> {
    let owner_among = |filter: &dyn Fn(&Candidate) -> bool| -> Option<&'a HostId> {
        let matching: Vec<&Candidate> = hosts.iter().filter(|h| filter(h)).collect();
        let owner = rendezvous::owner(member, matching.iter().map(|h| h.host.as_str()))?;
        matching.iter().find(|h| h.host == owner).map(|h| &h.host)
    };
    owner_among(&|h| h.data_centre == data_centre)
        .or_else(|| owner_among(&|h| h.region == region))
        .or_else(|| owner_among(&|_| true))
}

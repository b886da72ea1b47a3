//! Assigns the connections of each member to one host, its home.

use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::rendezvous;

use crate::policy::duty_hosts;

/// A host that may become the home of a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    pub host: HostId,
    pub data_centre: DataCentreId,
    pub region: String,
    /// Processor time that the host may use, in thousandths of a core.
    pub capacity: u32,
}

/// Returns the host that holds the connections to a member: one of the largest in the member's data
/// centre, else in its region, else any. Connections are scarce, and a single holder lets all
/// clients share them.
pub fn home<'a>(
    member: &str,
    data_centre: &str,
    region: &str,
    hosts: impl Iterator<Item = &'a Candidate> + Clone,
) -> Option<&'a HostId> {
    owner_among(
        member,
        hosts.clone().filter(|h| h.data_centre == data_centre),
    )
    .or_else(|| owner_among(member, hosts.clone().filter(|h| h.region == region)))
    .or_else(|| owner_among(member, hosts))
}

fn owner_among<'a>(
    member: &str,
    hosts: impl Iterator<Item = &'a Candidate> + Clone,
) -> Option<&'a HostId> {
    let largest = duty_hosts::largest(hosts);
    let owner = rendezvous::owner(member, largest.clone().map(|h| h.host.as_str()))?;
    largest.map(|h| &h.host).find(|host| *host == owner)
}

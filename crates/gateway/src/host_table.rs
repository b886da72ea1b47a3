//! What follows from the list of hosts: which are alive, and which carry which task.

use magnoliahatch_core::ids::HostId;

use crate::mesh::mesh_handle::MeshHandle;
use crate::model::host_entry::HostEntry;
use crate::policy::duty_hosts;
use crate::policy::homes::Candidate;
use crate::policy::view_tiers;
use crate::policy::view_tiers::FollowPlan;
use crate::settings::Settings;
use crate::view::view_state::ViewState;

/// Derived from the view and from which hosts can be reached. Computed anew only when either has
/// changed, since it is used for each statement.
#[derive(Debug, Default)]
pub struct HostTable {
    /// Registered hosts that are not leaving and not found unreachable.
    pub live: Vec<Candidate>,
    /// Live hosts that take tasks for others.
    pub duty: Vec<HostId>,
    /// Registered hosts that take tasks for others, whether reachable or not. The list does not
    /// depend on which hosts this one can reach.
    pub registered_duty: Vec<HostId>,
    /// Hosts that own the rates of organisations: those of `registered_duty`, or leaving ones while all
    /// hosts are leaving, since these still serve their clients.
    pub rate_owners: Vec<HostId>,
    pub plan: FollowPlan,
    /// Number of registered hosts, at least one.
    pub count: u32,
}

impl HostTable {
    pub fn new(settings: &Settings, view: &ViewState, mesh: &MeshHandle) -> Self {
        let hosts = view.hosts();
        let candidate = |(id, entry): &(&HostId, &HostEntry)| Candidate {
            host: (*id).clone(),
            data_centre: entry.data_centre.clone(),
            region: settings.region(&entry.data_centre).to_owned(),
            capacity: entry.capacity,
        };
        let staying = hosts.iter().filter(|(_, entry)| !entry.leaving);
        let registered: Vec<Candidate> = staying.map(candidate).collect();
        let reachable = |c: &&Candidate| c.host == settings.host || !mesh.is_down(&c.host);
        let live: Vec<Candidate> = registered.iter().filter(reachable).cloned().collect();
        let names = |hosts: &[Candidate]| -> Vec<HostId> {
            let largest = duty_hosts::largest(hosts.iter());
            largest.map(|h| h.host.clone()).collect()
        };
        let registered_duty = names(&registered);
        let rate_owners = if registered_duty.is_empty() {
            let leaving: Vec<Candidate> = hosts.iter().map(candidate).collect();
            names(&leaving)
        } else {
            registered_duty.clone()
        };
        let entries = hosts
            .iter()
            .map(|(id, entry)| (*id, entry.data_centre.as_str()));
        Self {
            duty: names(&live),
            registered_duty,
            rate_owners,
            plan: view_tiers::plan(&settings.host, &settings.data_centre, &live, entries),
            live,
            count: u32::try_from(hosts.len()).unwrap_or(u32::MAX).max(1),
        }
    }
}

//! The links of a fleet: every connection between its processes passes the fault proxy.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use crate::fault::link_settings::LinkSettings;
use crate::fault::protocol::Protocol;
use crate::harness::plan::DatabasePlan;
use crate::harness::plan::FleetPlan;
use crate::harness::plan::MemberPlan;

/// Name of the link from the daemons to the store.
pub const STORE: &str = "store";

/// Name of the link from callers to a host.
pub fn host(name: &str) -> String {
    format!("host-{name}")
}

/// Name of the link from other daemons to a host.
pub fn control(name: &str) -> String {
    format!("control-{name}")
}

/// Name of the link from daemons to a member.
pub fn member(name: &str) -> String {
    format!("member-{name}")
}

/// Name of the link from other members to a member.
pub fn peer(name: &str) -> String {
    format!("peer-{name}")
}

/// All links of a fleet, without targets.
pub fn all(plan: &FleetPlan) -> Vec<LinkSettings> {
    let mut links = vec![tcp(STORE.to_owned())];
    for entry in &plan.hosts {
        let mut callers = tcp(host(&entry.name));
        callers.delay_us = plan.latency.clients_us;
        links.push(callers);
        let mut peers = tcp(control(&entry.name));
        peers.protocol = Protocol::Udp;
        peers.delays_us = from_hosts(plan, &entry.data_centre);
        links.push(peers);
    }
    for database in &plan.databases {
        for entry in &database.members {
            let mut daemons = tcp(member(&entry.name));
            daemons.delays_us = from_hosts(plan, &entry.data_centre);
            links.push(daemons);
            let mut peers = tcp(peer(&entry.name));
            peers.delays_us = from_members(plan, database, entry);
            links.push(peers);
        }
    }
    links
}

fn tcp(name: String) -> LinkSettings {
    LinkSettings {
        name,
        protocol: Protocol::Tcp,
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        target: None,
        delay_us: 0,
        delays_us: BTreeMap::new(),
    }
}

fn from_hosts(plan: &FleetPlan, to: &str) -> BTreeMap<String, u64> {
    let hosts = plan.hosts.iter();
    delays(plan, to, hosts.map(|host| (&host.name, &host.data_centre)))
}

fn from_members(
    plan: &FleetPlan,
    database: &DatabasePlan,
    to: &MemberPlan,
) -> BTreeMap<String, u64> {
    let members = database.members.iter();
    let places = members.map(|member| (&member.name, &member.data_centre));
    delays(plan, &to.data_centre, places)
}

/// Only delays above zero unless the plan asks for all, since looking up the process of a
/// connection costs time.
fn delays<'a>(
    plan: &FleetPlan,
    to: &str,
    from: impl Iterator<Item = (&'a String, &'a String)>,
) -> BTreeMap<String, u64> {
    from.map(|(name, place)| (name.clone(), plan.delay(place, to)))
        .filter(|(_, delay)| plan.identify_sources || !delay.is_zero())
        .map(|(name, delay)| (name, u64::try_from(delay.as_micros()).unwrap_or(u64::MAX)))
        .collect()
}

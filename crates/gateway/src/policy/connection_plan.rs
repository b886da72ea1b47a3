//! Decides which connection to a member the next request uses.

use magnoliahatch_core::ids::OrganisationId;

/// Fraction of its connection limit up to which a host opens a connection although others are idle.
/// After a power failure of the hosts a member keeps their dead connections for seconds, and only
/// the remaining ones can be opened in that time.
const SOFT_LIMIT_FRACTION: f64 = 0.6;
/// Connections per organisation up to which the same applies. With fewer, organisations keep
/// replacing each other's connections, and opening one occupies a slot of the member.
const SOFT_LIMIT_PER_ORGANISATION: f64 = 1.5;

/// Limits on a host's connections to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Maximum number of connections.
    pub limit: u32,
    /// From this number on an idle connection of another organisation is replaced instead of
    /// opening one more.
    pub soft_limit: u32,
}

impl ConnectionLimits {
    pub fn new(limit: u32, organisations: usize) -> Self {
        let by_limit = f64::from(limit) * SOFT_LIMIT_FRACTION;
        let by_organisations = organisations as f64 * SOFT_LIMIT_PER_ORGANISATION;
        let soft_limit = by_limit.max(by_organisations).min(f64::from(limit)) as u32;
        Self {
            limit,
            soft_limit: soft_limit.max(1),
        }
    }
}

/// An idle connection. Lists of them are sorted by last use, the most recent last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdleConnection {
    pub organisation: OrganisationId,
}

/// How to provide a connection for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// Use the idle connection at this index.
    Use(usize),
    Open,
    /// Close the idle connection at this index, then open one.
    Replace(usize),
    /// Wait until a connection is returned.
    Wait,
}

/// Turns a plan that opens a connection into a wait while as many connections are being opened as
/// the member has slots: each occupies one, and more would fill the member's queue and delay
/// statements.
pub fn limit_opening(plan: Plan, opening: u32, slots: u32) -> Plan {
    match plan {
        Plan::Open | Plan::Replace(_) if opening >= slots.max(1) => Plan::Wait,
        plan => plan,
    }
}

/// Plans the connection for one of the proxy's own commands, which may use any connection.
pub fn plan_command(idle: &[IdleConnection], total: u32, limits: ConnectionLimits) -> Plan {
    match idle.len().checked_sub(1) {
        Some(newest) => Plan::Use(newest),
        None if total < limits.limit => Plan::Open,
        None => Plan::Wait,
    }
}

/// Plans the connection for a statement of an organisation. A connection belongs to one
/// organisation from its start, so that one of another organisation can only be replaced.
pub fn plan(
    organisation: &str,
    idle: &[IdleConnection],
    total: u32,
    limits: ConnectionLimits,
) -> Plan {
    if let Some(index) = idle.iter().rposition(|c| c.organisation == organisation) {
        return Plan::Use(index);
    }
    if total < limits.soft_limit || (idle.is_empty() && total < limits.limit) {
        return Plan::Open;
    }
    // Replaces the least recently used connection of the organisation with the most idle ones.
    let least_recent = idle
        .iter()
        .enumerate()
        .max_by_key(|(index, c)| {
            let same = idle.iter().filter(|o| o.organisation == c.organisation);
            (same.count(), std::cmp::Reverse(*index))
        })
        .map(|(index, _)| index);
    least_recent.map_or(Plan::Wait, Plan::Replace)
}

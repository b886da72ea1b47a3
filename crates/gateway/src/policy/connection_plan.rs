//! Decides which connection serves the next caller of a member.

use magnoliahatch_core::ids::OrganisationId;

/// An idle connection, as the plan sees it. Later entries were used more recently.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Idle {
    pub organisation: OrganisationId,
}

/// What to do for a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Plan {
    /// Use the idle connection at this index.
    Use(usize),
    Open,
    /// Close the idle connection at this index, then open one.
    Replace(usize),
    /// All connections are in use.
    Wait,
}

/// Plan for a command of the proxy's own, which any connection carries.
pub fn plan_command(idle: &[Idle], total: u32, limit: u32) -> Plan {
    match idle.len().checked_sub(1) {
        Some(newest) => Plan::Use(newest),
        None if total < limit => Plan::Open,
        None => Plan::Wait,
    }
}

/// A connection carries one organisation's name from its start, so one of another organisation
/// can only be replaced.
pub fn plan(organisation: &str, idle: &[Idle], total: u32, limit: u32) -> Plan {
    if let Some(index) = idle.iter().rposition(|c| c.organisation == organisation) {
        return Plan::Use(index);
    }
    if total < limit {
        return Plan::Open;
    }
    // The organisation with the most idle connections loses the one that rested longest.
    let most = idle
        .iter()
        .enumerate()
        .max_by_key(|(index, c)| {
            let same = idle.iter().filter(|o| o.organisation == c.organisation);
            (same.count(), std::cmp::Reverse(*index))
        })
        .map(|(index, _)| index);
    most.map_or(Plan::Wait, Plan::Replace)
}

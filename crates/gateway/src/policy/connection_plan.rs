//! Decides which connection serves the next caller of a member.

use magnoliahatch_core::ids::OrganisationId;

/// Part of its connections up to which a host opens one although others are idle. After a loss of
/// power a member keeps dark connections for seconds, and only what is left can be opened then.
const READY_PART: f64 = 0.6;
/// Connections for each organisation up to which the same holds. With fewer, organisations take each
/// other's connections away, and each new one occupies a slot.
const READY_EACH: f64 = 1.5;

/// How many connections a host may have to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Room {
    pub limit: u32,
    /// Beyond this an idle connection of another organisation is replaced.
    pub ready: u32,
}

impl Room {
    pub fn new(limit: u32, organisations: usize) -> Self {
        let part = f64::from(limit) * READY_PART;
        let each = organisations as f64 * READY_EACH;
        let ready = part.max(each).min(f64::from(limit)) as u32;
        Self {
            limit,
            ready: ready.max(1),
        }
    }
}

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

/// Holds back a plan that opens a connection while as many are being opened as the member has
/// slots: each occupies one, and more of them would fill the member's queue and delay statements.
pub fn paced(plan: Plan, opening: u32, slots: u32) -> Plan {
    match plan {
        Plan::Open | Plan::Replace(_) if opening >= slots.max(1) => Plan::Wait,
        plan => plan,
    }
}

/// Plan for a command of the proxy's own, which any connection carries.
pub fn plan_command(idle: &[Idle], total: u32, room: Room) -> Plan {
    match idle.len().checked_sub(1) {
        Some(newest) => Plan::Use(newest),
        None if total < room.limit => Plan::Open,
        None => Plan::Wait,
    }
}

/// A connection carries one organisation's name from its start, so one of another organisation
/// can only be replaced.
pub fn plan(organisation: &str, idle: &[Idle], total: u32, room: Room) -> Plan {
    if let Some(index) = idle.iter().rposition(|c| c.organisation == organisation) {
        return Plan::Use(index);
    }
    if total < room.ready || (idle.is_empty() && total < room.limit) {
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

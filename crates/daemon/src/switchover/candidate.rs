//! Chooses the next primary for a switchover.

use std::cmp::Reverse;

use magnoliahatch_core::ids::MemberId;

use crate::databases::database::Database;
use crate::peers::fleet::Fleet;

/// Chooses the best reachable replacement for a primary. Members in service are preferred, then
/// those in the same region, then those with the newest log.
pub(super) fn choose(database: &Database, old: &MemberId, fleet: &Fleet) -> Option<MemberId> {
    let region = |name: &MemberId| fleet.region(&database.member(name)?.data_centre);
    let old_region = region(old);
    let names = database.members().iter().map(|member| &member.name);
    let ranked = names.filter(|name| *name != old).filter_map(|name| {
        let seen = database.group.member(name).filter(|m| m.reachable)?;
        let same_region = old_region.is_some() && region(name) == old_region;
        let log = (seen.last_term, seen.received);
        Some((
            (
                in_service(database, name, fleet),
                same_region,
                log,
                Reverse(name),
            ),
            name,
        ))
    });
    ranked.max().map(|(_, name)| name.clone())
}

/// Whether a member is in service.
pub(super) fn in_service(database: &Database, name: &MemberId, fleet: &Fleet) -> bool {
    let view = fleet.config.borrow();
    let member = database.member(name);
    member.is_some_and(|member| view.member_in_service(member))
}

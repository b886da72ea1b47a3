//! Choice of the next primary.

use std::cmp::Reverse;

use magnoliahatch_core::ids::MemberId;

use crate::databases::database::Database;
use crate::peers::fleet::Fleet;

/// Best replacement for a primary: in service, in the same region, with the newest log.
pub(super) fn choose(database: &Database, old: &MemberId, fleet: &Fleet) -> Option<MemberId> {
    let region = |name: &MemberId| fleet.region(&database.member(name)?.data_centre);
    let home = region(old);
    let names = database.members().iter().map(|member| &member.name);
    let ranked = names.filter(|name| *name != old).filter_map(|name| {
        let seen = database.group.member(name).filter(|m| m.reachable)?;
        let near = home.is_some() && region(name) == home;
        let log = (seen.last_term, seen.received);
        Some((
            (in_service(database, name, fleet), near, log, Reverse(name)),
            name,
        ))
    });
    ranked.max().map(|(_, name)| name.clone())
}

pub(super) fn in_service(database: &Database, name: &MemberId, fleet: &Fleet) -> bool {
    let view = fleet.config.borrow();
    let member = database.member(name);
    member.is_some_and(|member| view.member_in_service(member))
}

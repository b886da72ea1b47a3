//! Keeps the list of a service's members that the record of its primary holds.
//!
//! A member without a registration may hold acknowledged commits that no registered one has
//! received. Processes forget it when they end, so it is recorded in the store.

use crate::model::known_member::KnownMember;

/// Returns the list to record: the registered members, and those known before that are neither
/// registered nor replaced. Sorted, so that equal lists compare as equal.
pub fn merge(known: &[KnownMember], registered: &[KnownMember]) -> Vec<KnownMember> {
    let mut members = registered.to_vec();
    members.extend(missing(known, registered).cloned());
    members.sort_by(|a, b| a.member.cmp(&b.member));
    members
}

/// Returns the known members that are neither registered nor replaced.
pub fn missing<'a>(
    known: &'a [KnownMember],
    registered: &'a [KnownMember],
) -> impl Iterator<Item = &'a KnownMember> {
    let is_missing = |k: &&KnownMember| !registered.iter().any(|r| r.replaces(k));
    known.iter().filter(is_missing)
}

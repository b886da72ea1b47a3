//! Tests of the list of a service's members that the record of its primary holds.

use magnoliahatch_gateway::model::known_member::KnownMember;
use magnoliahatch_gateway::policy::service_members::merge;
use magnoliahatch_gateway::policy::service_members::missing;

fn member(name: &str, host: u8) -> KnownMember {
    KnownMember {
        member: name.to_owned(),
        address: ([10, 0, 0, host], 80).into(),
    }
}

fn names<'a>(members: impl IntoIterator<Item = &'a KnownMember>) -> Vec<&'a str> {
    members.into_iter().map(|m| m.member.as_str()).collect()
}

/// Guards against a member that is forgotten, with the commits that only it holds, because its
/// registration has expired (review/6).
#[test]
fn member_without_a_registration_stays_listed() {
    let all = [member("m1", 1), member("m2", 2), member("m3", 3)];
    let listed = merge(&all, &all[2..]);
    assert_eq!(listed, all);
    assert_eq!(names(missing(&listed, &all[2..])), ["m1", "m2"]);
    assert_eq!(merge(&listed, &[]), all);
}

/// Guards against a service whose primary is never replaced, because a member that was replaced by
/// another one, which has its log, still counts as missing.
#[test]
fn successor_at_the_address_replaces_a_member() {
    let known = [member("m1", 1), member("m2", 2)];
    let registered = [member("m2", 2), member("m7", 1)];
    let listed = merge(&known, &registered);
    assert_eq!(names(&listed), ["m2", "m7"]);
    assert_eq!(missing(&listed, &registered).count(), 0);
}

/// Guards against a record that is written again with each check.
#[test]
fn list_is_stable() {
    let registered = [member("m3", 3), member("m1", 1)];
    let listed = merge(&[member("m2", 2)], &registered);
    assert_eq!(merge(&listed, &registered), listed);
}

//! Tests of the rule by which a host's copies allow the use of a primary.

use std::time::Duration;

use magnoliahatch_gateway::policy::copy_times::CopyTimes;

const MAX_RECORD_AGE: Duration = Duration::from_secs(3);
const MAX_HOSTS_AGE: Duration = Duration::from_secs(8);

fn allowed(records: u64, registered: Option<u64>, now: u64) -> bool {
    let times = CopyTimes {
        records: Some(Duration::from_secs(records)),
        hosts: Some(Duration::from_secs(now)),
        registered: registered.map(Duration::from_secs),
    };
    times.allow_primary(Duration::from_secs(now), MAX_RECORD_AGE, MAX_HOSTS_AGE)
}

/// Guards against the use of an old primary by a host that nobody asks to stop (review/8). For every
/// order of a registration, a change and a copy: who uses the primary by a copy from before the change
/// was registered before it, so that the holder finds it in the list of hosts, or the holder waits.
#[test]
fn only_hosts_that_the_holder_finds_use_a_record_from_before_a_change() {
    let times = || 0..12_u64;
    for (registered, change) in times().flat_map(|r| times().map(move |c| (r, c))) {
        for (records, now) in times().flat_map(|r| (r..12).map(move |n| (r, n))) {
            let is_found = registered < change;
            let uses_old = records < change && allowed(records, Some(registered), now);
            assert!(
                !uses_old || is_found,
                "registered {registered}, change {change}, copy {records}, now {now}"
            );
        }
    }
}

/// Guards against a host that never uses a primary again: a copy from after the registration is enough
/// until it is too old.
#[test]
fn copy_after_the_registration_is_used_until_it_is_too_old() {
    assert!(allowed(5, Some(5), 5));
    assert!(allowed(5, Some(2), 8));
    assert!(!allowed(5, Some(2), 9));
    assert!(!allowed(5, Some(6), 7));
    assert!(!allowed(5, None, 5));
}

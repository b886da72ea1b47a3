//! Load patterns of fleets from 6 to 2000 hosts: control traffic, store calls and duties. Guards
//! against costs that grow with the square of the number of hosts.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_gateway::policy::homes;
use magnoliahatch_gateway::policy::homes::Candidate;
use magnoliahatch_gateway::policy::ping_schedule;
use magnoliahatch_gateway::policy::start_plan;
use magnoliahatch_gateway::policy::start_plan::StartPlan;
use magnoliahatch_gateway::policy::store_admission::Admission;
use magnoliahatch_gateway::policy::store_admission::StoreAdmission;
use magnoliahatch_gateway::policy::view_tiers;
use magnoliahatch_gateway::policy::view_tiers::FollowPlan;

const SIZES: [usize; 5] = [6, 60, 195, 520, 2000];
const DATA_CENTRES: usize = 6;
/// One host in this many is large.
const LARGE_EVERY: usize = 10;
const SMALL: u32 = 120;
const LARGE: u32 = 500;

fn fleet(size: usize) -> Vec<Candidate> {
    let host = |index: usize| {
        let centre = index % DATA_CENTRES;
        Candidate {
            host: format!("host-{centre}-{index}"),
            data_centre: format!("dc-{centre}"),
            region: format!("region-{}", centre / 2),
            capacity: if (index / DATA_CENTRES).is_multiple_of(LARGE_EVERY) {
                LARGE
            } else {
                SMALL
            },
        }
    };
    (0..size).map(host).collect()
}

fn plan(own: &Candidate, live: &[Candidate], registered: &[Candidate]) -> FollowPlan {
    let registered = registered.iter().map(|c| (&c.host, c.data_centre.as_str()));
    view_tiers::plan(&own.host, &own.data_centre, live, registered)
}

/// Number of hosts that follow each host, and the longest chain to the store watcher.
fn followers(live: &[Candidate]) -> (BTreeMap<HostId, usize>, usize) {
    let plans: BTreeMap<&HostId, FollowPlan> = live
        .iter()
        .map(|c| (&c.host, plan(c, live, live)))
        .collect();
    let mut counts = BTreeMap::new();
    let mut longest = 0;
    for own in plans.keys() {
        let mut at = *own;
        let mut hops = 0;
        while let Some(source) = plans[at].sources().next()
            && source != at
        {
            if hops == 0 {
                *counts.entry(source.clone()).or_insert(0) += 1;
            }
            at = source;
            hops += 1;
            assert!(hops < 5, "{own} follows no store watcher");
        }
        longest = longest.max(hops);
    }
    (counts, longest)
}

/// No host answers more than its data centre, and each follows the store watcher in two steps.
#[test]
fn view_is_passed_on_in_two_tiers() {
    for size in SIZES {
        let (counts, longest) = followers(&fleet(size));
        let most = counts.values().max().copied().unwrap_or(0);
        let local = size.div_ceil(DATA_CENTRES);
        assert!(most <= local.max(24) + 12, "{most} followers of {size}");
        assert!(longest <= 2, "{longest} steps in a fleet of {size}");
    }
}

/// The same after the loss of a data centre, and of the watcher and the first relays.
#[test]
fn view_is_passed_on_after_losses() {
    for size in [60, 195, 520] {
        let all = fleet(size);
        let without = |lost: &dyn Fn(&Candidate) -> bool| -> Vec<Candidate> {
            all.iter().filter(|c| !lost(c)).cloned().collect()
        };
        let (_, longest) = followers(&without(&|c| c.data_centre == "dc-2"));
        assert!(longest <= 2);
        let (counts, _) = followers(&all);
        let (_, longest) = followers(&without(&|c| counts.contains_key(&c.host)));
        assert!(longest <= 2);
    }
}

/// Each registered host is cleaned up by exactly one live host, also those of a lost data centre.
#[test]
fn every_registration_has_one_cleaner() {
    for size in SIZES {
        let all = fleet(size);
        let live: Vec<Candidate> = all
            .iter()
            .filter(|c| c.data_centre != "dc-1")
            .cloned()
            .collect();
        let mut cleaners = BTreeMap::new();
        for own in &live {
            for host in plan(own, &live, &all).cleans {
                *cleaners.entry(host).or_insert(0) += 1;
            }
        }
        // A cleaner does not check itself.
        let checked = all.iter().filter(|c| cleaners.contains_key(&c.host));
        let unchecked = size - checked.count();
        assert!(unchecked <= DATA_CENTRES, "{unchecked} of {size}");
        assert!(cleaners.values().all(|count| *count == 1));
    }
}

/// With the pings of a host spread over its connections, a fleet sends at most 20 for each host and
/// second; a small one notices a silent connection within half a second and a ping.
#[test]
fn pings_do_not_grow_with_the_connections() {
    for connections in [1, 8, 20, 60, 195, 2000] {
        let interval = ping_schedule::interval(connections);
        let rate = connections as f64 / interval.as_secs_f64();
        assert!(rate <= 20.1, "{rate} pings a second");
    }
    assert_eq!(ping_schedule::interval(8), Duration::from_millis(500));
}

/// Homes are large hosts, so that each host talks to few others, and the loss of one host moves
/// only the members whose home it was.
#[test]
fn homes_are_few_and_stay() {
    for size in [60, 195, 520, 2000] {
        let all = fleet(size);
        let home = |member: usize, hosts: &[Candidate]| {
            let centre = format!("dc-{}", member % 3);
            let region = format!("region-{}", member % 3 / 2);
            homes::home(&format!("m-{member}"), &centre, &region, hosts.iter()).cloned()
        };
        let before: Vec<Option<HostId>> = (0..60).map(|m| home(m, &all)).collect();
        let large = all.iter().filter(|c| c.capacity == LARGE).count();
        let distinct: std::collections::BTreeSet<_> = before.iter().flatten().collect();
        assert!(distinct.len() <= large);
        let lost = before[0].clone().expect("a home");
        let rest: Vec<Candidate> = all.iter().filter(|c| c.host != lost).cloned().collect();
        for (member, host) in before.iter().enumerate() {
            if *host != Some(lost.clone()) {
                assert_eq!(home(member, &rest), *host);
            }
        }
    }
}

/// Without large hosts in a data centre the small ones take its tasks.
#[test]
fn small_hosts_take_tasks_where_there_are_no_large_ones() {
    let mut all = fleet(60);
    all.retain(|c| c.data_centre != "dc-0" || c.capacity == SMALL);
    let home = homes::home("m", "dc-0", "region-0", all.iter()).expect("a home");
    assert!(home.starts_with("host-0-"));
}

/// Calls of the whole fleet to a store that refuses all of them for ten seconds.
fn calls_in_outage(size: usize) -> usize {
    let mut calls = 0;
    for host in 0..size {
        let mut admission = StoreAdmission::default();
        admission.on_started();
        // Fixed, and different for each host.
        let random = |call: usize| ((host * 7919 + call * 104_729) % 1000) as f64 / 1000.0;
        let watches = host < 4;
        let mut own = 0;
        for step in 0..100 {
            let now = Duration::from_millis(2000 + step * 100);
            let reads = watches || admission.may_read_stale(true, size as u32, random(0), now);
            if reads && admission.admit(now) != Admission::Wait {
                own += 1;
                admission.on_failure(watches, size as u32, random(own), now);
            }
        }
        calls += own;
    }
    calls
}

#[test]
fn outage_of_the_store_costs_no_more_calls_in_a_large_fleet() {
    for size in SIZES {
        let calls = calls_in_outage(size);
        // Four watchers, and 20 a second of the others with their first attempts.
        assert!(calls <= 300, "{calls} calls of {size} hosts in 10 s");
    }
}

/// A store that is back must be noticed soon by the hosts that watch it.
#[test]
fn watcher_probes_the_store_about_once_a_second() {
    let mut admission = StoreAdmission::default();
    let mut now = Duration::from_secs(5);
    let mut longest = Duration::ZERO;
    for _ in 0..20 {
        admission.on_failure(true, 195, 0.5, now);
        let failed = now;
        while admission.admit(now) == Admission::Wait {
            now += Duration::from_millis(10);
        }
        longest = longest.max(now - failed);
    }
    assert!(longest <= Duration::from_millis(1300), "{longest:?}");
    assert!(admission.on_success());
    assert_eq!(admission.admit(now), Admission::Call);
}

/// While calls fail, one call at a time tests the store.
#[test]
fn only_one_call_probes_a_failing_store() {
    let mut admission = StoreAdmission::default();
    let now = Duration::from_secs(5);
    assert_eq!(admission.admit(now), Admission::Call);
    assert_eq!(admission.admit(now), Admission::Call);
    admission.on_failure(true, 6, 0.5, now);
    admission.on_failure(true, 6, 0.5, now);
    let later = now + Duration::from_secs(1);
    assert_eq!(admission.admit(later), Admission::Probe);
    assert_eq!(admission.admit(later), Admission::Wait);
}

/// A restart of the whole fleet: at most two hosts of each data centre read the store.
#[test]
fn few_hosts_read_the_store_when_the_fleet_starts() {
    for size in SIZES {
        let all = fleet(size);
        let mut readers = 0;
        for own in &all {
            let local: Vec<Candidate> = all
                .iter()
                .filter(|c| c.data_centre == own.data_centre)
                .cloned()
                .collect();
            readers += usize::from(start_plan::plan(&own.host, &local) == StartPlan::ReadStore);
        }
        assert!(readers <= 2 * DATA_CENTRES, "{readers} of {size}");
    }
    assert_eq!(
        start_plan::page_start("frontend-zaria-17"),
        "frontend-zaria-"
    );
    assert_eq!(start_plan::page_start("front"), "");
}

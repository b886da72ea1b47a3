//! Tests of the decision logic in `policy`.

use std::time::Duration;

use magnoliahatch_core::position::LogPosition;
use magnoliahatch_gateway::model::configuration::Rate;
use magnoliahatch_gateway::model::statement_kind::StatementKind;
use magnoliahatch_gateway::policy::admission::AdmissionQueue;
use magnoliahatch_gateway::policy::admission_decision::AdmissionDecision;
use magnoliahatch_gateway::policy::admission_request::Request;
use magnoliahatch_gateway::policy::bounds::Bounds;
use magnoliahatch_gateway::policy::bounds::RateBounds;
use magnoliahatch_gateway::policy::failover_trigger::FailoverReason;
use magnoliahatch_gateway::policy::failover_trigger::FailoverTrigger;
use magnoliahatch_gateway::policy::failover_trigger::Observation;
use magnoliahatch_gateway::policy::homes;
use magnoliahatch_gateway::policy::homes::Candidate;
use magnoliahatch_gateway::policy::quota::QuotaTable;
use magnoliahatch_gateway::policy::read_floor::ReadFloor;
use magnoliahatch_gateway::policy::replica_choice::Distance;
use magnoliahatch_gateway::policy::replica_choice::ReadCandidate;
use magnoliahatch_gateway::policy::replica_choice::choose;
use magnoliahatch_gateway::policy::store_watchers;
use magnoliahatch_gateway::policy::store_watchers::StoreWatcherChoice;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Fixed so that CI runs are reproducible; proptest prints it on a failure.
const SEED: u64 = 20_261_204;

/// Bounds on rates that both deployments use.
const RATE_BOUNDS: RateBounds = RateBounds {
    window: Duration::from_secs(5),
    overage: 0.1,
    slack: 20.0,
};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn position(term: u64, index: u64) -> LogPosition {
    LogPosition { term, index }
}

fn fixed(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

/// Reads must not be staler than allowed: an observation only covers commits that were acknowledged
/// before its request was sent.
#[test]
fn floor_expires_with_the_age_that_a_read_accepts() {
    let mut floor = ReadFloor::default();
    floor.record(millis(1000), position(3, 40));
    let covering = |now| floor.covering(millis(500), millis(now));
    assert_eq!(covering(1500), Some(position(3, 40)));
    assert_eq!(covering(1501), None);
}

/// A late answer of a replaced primary must not lower the floor.
#[test]
fn floor_ignores_positions_of_an_earlier_term() {
    let mut floor = ReadFloor::default();
    floor.record(millis(1000), position(4, 10));
    floor.record(millis(1200), position(3, 99));
    assert_eq!(
        floor.covering(millis(300), millis(1300)),
        Some(position(4, 10))
    );
    assert_eq!(floor.covering(millis(100), millis(1300)), None);
}

/// Load: replicas that lag by 90 ms behind a primary with 20 commits a second, whose position is
/// observed every 750 ms. Guards against reads that require the newest observed position although they
/// accept data of 1.5 s: the replicas refused those that followed each observation.
#[test]
fn floor_is_one_that_lagging_replicas_have_applied() {
    let log_index = |now: u64| now / 50;
    let mut floor = ReadFloor::default();
    let mut refused = 0;
    for now in (0..30_000).step_by(10) {
        if now % 750 == 0 {
            floor.record(millis(now), position(1, log_index(now)));
        }
        let required = floor.covering(millis(1500), millis(now));
        let applied = log_index(now.saturating_sub(90));
        refused += u32::from(required.is_none_or(|p| p.index > applied));
    }
    // Only the first observation has no earlier one.
    assert!(refused <= 9, "{refused} of 3000 reads were refused");
}

/// Guards against a position of an earlier term that members have rolled back.
#[test]
fn floor_forgets_an_earlier_term() {
    let mut floor = ReadFloor::default();
    floor.record(millis(1000), position(3, 40));
    floor.record(millis(1200), position(4, 30));
    let covering = floor.covering(millis(1000), millis(1300));
    assert_eq!(covering, Some(position(4, 30)));
}

/// Guards against a history without bound at a busy primary, and against one in which a burst of
/// answers evicts what reads need.
#[test]
fn floor_of_a_busy_primary_keeps_seconds_of_its_history() {
    let mut floor = ReadFloor::default();
    for now in 0..10_000 {
        floor.record(millis(now), position(1, now));
    }
    let covered = floor.covering(millis(2500), millis(10_000));
    let index = covered.map(|p| p.index);
    assert!(
        index.is_some_and(|i| (7500..7600).contains(&i)),
        "{index:?}"
    );
}

/// A read outside any transaction, of the priority of its route.
fn statement(priority: u32, deadline: Duration) -> Request {
    Request {
        organisation: "org".to_owned(),
        weight: 1.0,
        priority,
        kind: StatementKind::Read,
        deadline,
        in_transaction: false,
    }
}

proptest! {
    #![proptest_config(fixed(200))]

    /// In whatever order answers arrive, the floor must cover every commit that was acknowledged
    /// longer ago than the accepted age.
    #[test]
    fn floor_covers_what_was_acknowledged(order in prop::collection::vec(any::<u16>(), 1..40)) {
        // The primary's log grows by one entry every 10 ms; request i is sent at 10 * i ms.
        let mut floor = ReadFloor::default();
        for (i, swap) in order.iter().enumerate() {
            let sent = (i as u64) * 10 + u64::from(swap % 7) * 10;
            floor.record(millis(sent), position(1, sent / 10));
            let now = millis(sent + 200);
            if let Some(covered) = floor.covering(millis(150), now) {
                let required = (now - millis(150)).as_millis() as u64 / 10;
                assert!(covered.index >= required, "{covered} does not cover {required}");
            }
        }
    }

    /// A member must not run more statements than it has slots, and no slot may be lost when
    /// waiting statements are cancelled.
    #[test]
    fn admission_never_exceeds_its_capacity(
        steps in prop::collection::vec((0_u8..3, 0_u32..3), 1..300),
    ) {
        let mut admission = AdmissionQueue::new(4);
        let (mut running, mut waiting) = (0_u32, Vec::new());
        let mut now = millis(0);
        for (kind, priority) in steps {
            now += millis(3);
            match kind {
                0 => match admission.request(statement(priority, now + millis(60)), now) {
                    AdmissionDecision::Granted => running += 1,
                    AdmissionDecision::Waiting(ticket) => waiting.push(ticket),
                    AdmissionDecision::Refused(_) => {}
                },
                1 if running > 0 => {
                    running -= 1;
                    admission.release(StatementKind::Read, millis(5));
                }
                _ => {
                    if let Some(ticket) = waiting.pop() {
                        admission.cancel(ticket);
                    }
                }
            }
            while let Some(ticket) = admission.grant_next(now) {
                running += 1;
                waiting.retain(|t| *t != ticket);
            }
            assert!(running <= 4);
        }
        // Once all statements have ended, all slots must be free again.
        for _ in 0..running {
            admission.release(StatementKind::Read, millis(5));
        }
        for ticket in waiting {
            admission.cancel(ticket);
        }
        for _ in 0..4 {
            assert_eq!(admission.request(statement(0, now + millis(60)), now), AdmissionDecision::Granted);
        }
    }
}

/// A burst of statements to a saturated member. Statements that cannot be served in time are
/// refused at once; one of a higher priority is still admitted.
#[test]
fn saturated_member_refuses_what_it_cannot_serve_in_time() {
    let mut admission = AdmissionQueue::new(1);
    let limit = millis(100);
    // Statements are refused early only once the service time has been measured.
    for _ in 0..30 {
        assert_eq!(
            admission.request(statement(2, limit), millis(0)),
            AdmissionDecision::Granted
        );
        admission.release(StatementKind::Read, millis(10));
    }
    assert_eq!(
        admission.request(statement(2, limit), millis(0)),
        AdmissionDecision::Granted
    );
    let mut refused = 0;
    for _ in 0..30 {
        if matches!(
            admission.request(statement(2, limit), millis(0)),
            AdmissionDecision::Refused(_)
        ) {
            refused += 1;
        }
    }
    assert!(
        refused >= 15,
        "{refused} of 30 refused at 10 ms per statement"
    );
    assert!(matches!(
        admission.request(statement(1, limit), millis(0)),
        AdmissionDecision::Waiting(_)
    ));
}

/// Statements of open transactions and bookings wait behind lookups. The one of the higher priority
/// must run first.
#[test]
fn statement_of_higher_priority_runs_first() {
    let mut admission = AdmissionQueue::new(1);
    let until = millis(1000);
    assert_eq!(
        admission.request(statement(2, until), millis(0)),
        AdmissionDecision::Granted
    );
    let low = admission.request(statement(3, until), millis(0));
    let AdmissionDecision::Waiting(urgent) = admission.request(statement(0, until), millis(1))
    else {
        panic!("a slot is in use");
    };
    assert!(matches!(low, AdmissionDecision::Waiting(_)));
    admission.release(StatementKind::Read, millis(5));
    assert_eq!(admission.grant_next(millis(6)), Some(urgent));
}

/// An organisation sends far more than its rate. Its rate and burst limit what it gets in any
/// window.
#[test]
fn organisation_gets_only_its_rate_and_burst() {
    let rate = Rate {
        per_second: 50.0,
        burst: 50.0,
    };
    let mut table = QuotaTable::default();
    let mut granted = 0;
    for step in 0..5000 {
        granted += table.take("org", rate, 1.0, 1, millis(step));
    }
    assert!(
        (240..=251).contains(&granted),
        "{granted} granted in 5 s at 50/s"
    );
}

/// The burst must not be granted again by each host that becomes the owner of an organisation's
/// rate.
#[test]
fn new_owner_of_a_rate_starts_with_an_empty_bucket() {
    let rate = Rate {
        per_second: 10.0,
        burst: 100.0,
    };
    let mut table = QuotaTable::default();
    assert_eq!(table.take("a", rate, 1.0, 50, millis(1000)), 0);
}

fn hosts(names: &[(&str, &str)]) -> Vec<Candidate> {
    let hosts = names.iter().map(|(host, centre)| Candidate {
        host: (*host).to_owned(),
        data_centre: (*centre).to_owned(),
        region: centre[..1].to_owned(),
        capacity: 250,
    });
    hosts.collect()
}

/// Connections must not be held far from their member while there is a host nearby.
#[test]
fn home_is_in_the_members_data_centre_if_it_can_be() {
    let all = hosts(&[("h1", "a1"), ("h2", "a2"), ("h3", "b1")]);
    let home = |hosts: &[Candidate]| homes::home("m", "a1", "a", hosts.iter()).cloned();
    assert_eq!(home(&all).as_deref(), Some("h1"));
    assert_eq!(home(&all[1..]).as_deref(), Some("h2"));
    assert_eq!(home(&all[2..]).as_deref(), Some("h3"));
    assert_eq!(home(&[]), None);
}

fn choice(distance: Distance, primary: bool, latency: u64, pending: u32) -> ReadCandidate {
    ReadCandidate {
        distance,
        primary,
        cold: false,
        slots: 2,
        latency: millis(latency),
        pending,
        report: None,
    }
}

/// A slow or heavily loaded replica nearby. Reads use it until waiting there costs more than the
/// distance to another one.
#[test]
fn reads_avoid_a_heavily_loaded_replica() {
    let near = |latency, pending| choice(Distance::SameDataCentre, false, latency, pending);
    let far = choice(Distance::OtherRegion, false, 15, 0);
    assert_eq!(choose(&[near(15, 1), far], 0), Some(0));
    assert_eq!(choose(&[near(15, 12), far], 0), Some(1));
    assert_eq!(choose(&[near(90, 2), far], 0), Some(1));
    let primary = choice(Distance::SameDataCentre, true, 15, 0);
    assert_eq!(choose(&[primary, near(15, 0)], 0), Some(1));
    assert_eq!(choose(&[], 0), None);
}

/// When the reader fails, hosts must use the next candidate instead of all reading the store.
#[test]
fn failed_reader_is_skipped_for_a_while() {
    let names: Vec<String> = (0..9).map(|n| format!("h{n}")).collect();
    let order = store_watchers::candidates(names.iter().map(String::as_str));
    let mut choice = StoreWatcherChoice::default();
    assert_eq!(
        choice.choose(order.iter(), millis(0)).as_ref(),
        Some(&order[0])
    );
    choice.on_failure(order[0].clone(), millis(0));
    assert_eq!(
        choice.choose(order.iter(), millis(10)).as_ref(),
        Some(&order[1])
    );
    assert_eq!(
        choice.choose(order.iter(), millis(9000)).as_ref(),
        Some(&order[0])
    );
}

fn healthy() -> Observation {
    Observation {
        registered: true,
        reachable: true,
        ..Observation::default()
    }
}

/// A healthy primary must not be replaced because its registration expired while the store was
/// unavailable, or because of one lost probe.
#[test]
fn short_gaps_do_not_replace_a_primary() {
    let mut trigger = FailoverTrigger::default();
    for step in 0..10 {
        let seen = Observation {
            registered: step % 5 != 0,
            reachable: step % 3 != 0,
            ..Observation::default()
        };
        assert_eq!(
            trigger.observe("m", seen, millis(step * 200), millis(step * 200)),
            None
        );
    }
    let unregistered = Observation {
        registered: false,
        ..healthy()
    };
    assert_eq!(
        trigger.observe("m", unregistered, millis(3000), millis(3000)),
        None
    );
    assert_eq!(
        trigger.observe("m", unregistered, millis(5500), millis(5500)),
        None
    );
    let reason = trigger.observe("m", unregistered, millis(5700), millis(5700));
    assert_eq!(reason, Some(FailoverReason::Failed));
}

/// A leaving primary must not be kept until its process ends.
#[test]
fn leaving_primary_is_replaced_at_once() {
    for (draining, evacuated) in [(true, false), (false, true)] {
        let seen = Observation {
            draining,
            evacuated,
            ..healthy()
        };
        let reason = FailoverTrigger::default().observe("m", seen, millis(0), millis(0));
        assert_eq!(reason, Some(FailoverReason::Planned));
    }
}

/// The primary crashes without any host noticing. One round of checks in which no host gets an
/// answer must be enough, provided it lasts long enough.
#[test]
fn unreachable_time_counts_from_the_start_of_the_observation() {
    let unreachable = Observation {
        reachable: false,
        ..healthy()
    };
    let mut trigger = FailoverTrigger::default();
    let early = trigger.observe("m", unreachable, millis(1000), millis(1450));
    assert_eq!(early, None);
    let mut trigger = FailoverTrigger::default();
    let late = trigger.observe("m", unreachable, millis(1000), millis(1600));
    assert_eq!(late, Some(FailoverReason::Failed));
}

/// Guards against a recorded primary that stays recorded although another member leads (review/11). A
/// single answer as a replica, for example during its start, must not be enough.
#[test]
fn primary_that_stays_a_replica_is_replaced() {
    let demoted = Observation {
        demoted: true,
        ..healthy()
    };
    let mut trigger = FailoverTrigger::default();
    for (at, seen, expected) in [
        (0, demoted, None),
        (200, healthy(), None),
        (400, demoted, None),
        (800, demoted, None),
        (900, demoted, Some(FailoverReason::Demoted)),
    ] {
        assert_eq!(trigger.observe("m", seen, millis(at), millis(at)), expected);
    }
}

/// Failed checks of the previous primary must not count against the new one.
#[test]
fn new_primary_starts_without_failed_checks() {
    let mut trigger = FailoverTrigger::default();
    let unreachable = Observation {
        reachable: false,
        ..healthy()
    };
    assert_eq!(
        trigger.observe("old", unreachable, millis(0), millis(0)),
        None
    );
    assert_eq!(
        trigger.observe("new", unreachable, millis(900), millis(900)),
        None
    );
    assert!(
        trigger
            .observe("new", unreachable, millis(1700), millis(1700))
            .is_some()
    );
}

/// A withdrawn key must no longer be accepted when the revocation bound is reached.
#[test]
fn keys_are_trusted_for_less_than_the_revocation_bound() {
    let bounds = Bounds {
        revocation: millis(5000),
        contact: millis(4000),
        grace: millis(6000),
        rate: RATE_BOUNDS,
    };
    assert!(bounds.max_key_age() + millis(600) <= bounds.revocation);
}

/// Hosts are partitioned while a primary is replaced. The change must not wait for them longer than
/// clients rely on a host that cannot reach the store, nor longer than the contact bound.
#[test]
fn primaries_are_given_up_before_keys_are() {
    let mut bounds = Bounds {
        revocation: millis(5000),
        contact: millis(4000),
        grace: millis(6000),
        rate: RATE_BOUNDS,
    };
    assert_eq!(bounds.max_primary_record_age(), millis(3000));
    assert!(bounds.max_primary_record_age() < bounds.max_key_age());
    bounds.contact = millis(2000);
    assert_eq!(bounds.max_primary_record_age(), millis(2000));
}

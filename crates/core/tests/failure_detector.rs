//! Guards against replacing a primary that works, and against never replacing one that has failed.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::failure_detector::DetectionTimeouts;
use magnoliahatch_core::failure_detector::FailureDetector;
use magnoliahatch_core::failure_detector::PeerObservation;
use magnoliahatch_core::failure_detector::PeerReports;
use magnoliahatch_core::failure_detector::PrimaryObservation;
use magnoliahatch_core::group_view::GroupView;
use magnoliahatch_core::member_view::MemberView;
use proptest::prelude::*;

const TERM: u64 = 3;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn view(reachable: bool, observed_at: Duration) -> GroupView {
    let member = |reachable| MemberView {
        reachable,
        term: TERM,
        observed_at,
        ..MemberView::default()
    };
    GroupView {
        term: TERM,
        primary: Some("m1".to_owned()),
        members: BTreeMap::from([
            ("m1".to_owned(), member(reachable)),
            ("m2".to_owned(), member(true)),
        ]),
    }
}

fn peers(observations: &[(u64, bool)], live: usize) -> PeerReports {
    let observations = observations
        .iter()
        .enumerate()
        .map(|(at, (term, reachable))| {
            let observation = PrimaryObservation {
                term: *term,
                reachable: *reachable,
            };
            let expires = ms(100_000);
            (
                format!("h{at}"),
                PeerObservation {
                    observation,
                    expires,
                },
            )
        });
    PeerReports {
        has_lease: true,
        live,
        observations: observations.collect(),
    }
}

/// State of a daemon that has not reached the primary for longer than the grace period.
fn detector_with_failed_primary() -> FailureDetector {
    let mut detector = FailureDetector::new(DetectionTimeouts::default());
    detector.on_view(&view(true, ms(0)), ms(0));
    detector.on_view(&view(false, ms(0)), ms(1000));
    detector.on_view(&view(false, ms(0)), ms(1300));
    detector
}

#[test]
fn short_interruption_is_tolerated() {
    let mut detector = FailureDetector::new(DetectionTimeouts::default());
    let alone = peers(&[], 0);
    detector.on_view(&view(true, ms(0)), ms(0));
    detector.on_view(&view(false, ms(0)), ms(200));
    detector.on_view(&view(false, ms(0)), ms(499));
    assert!(!detector.needs_primary(&alone, ms(499)));
    detector.on_view(&view(true, ms(510)), ms(510));
    detector.on_view(&view(false, ms(510)), ms(520));
    assert!(!detector.needs_primary(&alone, ms(520)));
}

#[test]
fn failed_primary_is_detected_within_1500_ms() {
    let alone = peers(&[], 0);
    // The primary refuses connections.
    assert!(detector_with_failed_primary().needs_primary(&alone, ms(1300)));
    // Probes hang, and the view still says that the primary is reachable.
    let mut detector = FailureDetector::new(DetectionTimeouts::default());
    detector.on_view(&view(true, ms(1000)), ms(1000));
    detector.on_view(&view(true, ms(1000)), ms(2001));
    assert!(detector.needs_primary(&alone, ms(2001)));
}

#[test]
fn daemon_without_a_majority_starts_no_election() {
    let peers = PeerReports {
        has_lease: false,
        ..peers(&[(TERM, false), (TERM, false)], 2)
    };
    assert!(!detector_with_failed_primary().needs_primary(&peers, ms(1300)));
}

#[test]
fn only_a_majority_of_observations_starts_an_election() {
    for (observations, live, expected) in [
        (&[(TERM, true), (TERM, true)][..], 2, false),
        (&[(TERM, true), (TERM, false)], 2, true),
        (&[(TERM, true)], 1, false),
        // Live peers that do not probe the group cannot confirm the failure.
        (&[], 2, false),
        (&[(TERM, false)], 2, true),
        (&[], 0, true),
        // A peer reaches the primary of a newer term.
        (&[(TERM + 1, true), (TERM, false)], 2, false),
        // Observations of the primary of a term that has ended do not count.
        (&[(TERM - 1, true), (TERM, false)], 2, true),
    ] {
        let peers = peers(observations, live);
        let needs = detector_with_failed_primary().needs_primary(&peers, ms(1300));
        assert_eq!(needs, expected, "{observations:?}, {live} live");
    }
}

#[test]
fn expired_observations_do_not_count() {
    let peers = peers(&[(TERM, false)], 2);
    assert!(!detector_with_failed_primary().needs_primary(&peers, ms(100_000)));
}

/// Two daemons with the same rank would start elections at the same time and block each other.
#[test]
fn daemons_that_cannot_reach_the_primary_have_different_ranks() {
    let hosts = ["h0", "h1", "h2"].map(str::to_owned);
    let all = peers(&[(TERM, false), (TERM, false), (TERM, false)], 3);
    let mut ranks = hosts.clone().map(|host| {
        let mut peers = all.clone();
        peers.observations.remove(&host);
        detector_with_failed_primary().candidate_rank(
            &host,
            &"hire-ledger".to_owned(),
            &peers,
            ms(1300),
        )
    });
    ranks.sort_unstable();
    assert_eq!(ranks, [0, 1, 2]);
}

#[test]
fn new_term_restarts_the_grace_period() {
    let mut detector = detector_with_failed_primary();
    let newer = GroupView {
        term: TERM + 1,
        primary: None,
        ..view(false, ms(0))
    };
    detector.on_view(&newer, ms(1400));
    assert!(!detector.needs_primary(&peers(&[], 0), ms(1400)));
    detector.on_view(&newer, ms(1700));
    assert!(detector.needs_primary(&peers(&[], 0), ms(1700)));
}

#[test]
fn group_without_a_primary_needs_one() {
    let mut detector = FailureDetector::new(DetectionTimeouts::default());
    let none = GroupView {
        primary: None,
        ..view(true, ms(0))
    };
    detector.on_view(&none, ms(0));
    detector.on_view(&none, ms(300));
    assert!(detector.needs_primary(&peers(&[], 0), ms(300)));
    detector.on_view(&GroupView::default(), ms(900));
    assert_eq!(detector.observation(), None);
}

proptest! {
    #[test]
    fn election_needs_more_than_half_of_the_observations(
        votes in prop::collection::vec(any::<bool>(), 1..9),
    ) {
        let observations: Vec<(u64, bool)> = votes.iter().map(|up| (TERM, *up)).collect();
        let unreachable_votes = 1 + votes.iter().filter(|up| !**up).count();
        let needs = detector_with_failed_primary()
            .needs_primary(&peers(&observations, votes.len()), ms(1300));
        prop_assert_eq!(needs, unreachable_votes >= 2 && unreachable_votes * 2 > votes.len() + 1);
    }
}

//! Tests of the load generator: arrivals must not depend on the answers, and each figure in a report
//! must measure what its name says.

use std::path::Path;
use std::time::Duration;

use magnoliahatch_bench::history::outcome::Outcome;
use magnoliahatch_bench::history::verdict::Verdict;
use magnoliahatch_bench::load::arrivals::Arrivals;
use magnoliahatch_bench::load::comparison::Comparison;
use magnoliahatch_bench::load::failover;
use magnoliahatch_bench::load::failure::Failure;
use magnoliahatch_bench::load::fault_plan::FaultAction;
use magnoliahatch_bench::load::fault_plan::InjectedFault;
use magnoliahatch_bench::load::organisation::LoadStep;
use magnoliahatch_bench::load::organisation::OrganisationPlan;
use magnoliahatch_bench::load::phase::Phase;
use magnoliahatch_bench::load::phase::PhaseReport;
use magnoliahatch_bench::load::read_share::ReadShare;
use magnoliahatch_bench::load::report::Report;
use magnoliahatch_bench::load::sample::FailedAttempt;
use magnoliahatch_bench::load::sample::OperationKind;
use magnoliahatch_bench::load::sample::Sample;
use magnoliahatch_bench::load::scenario::Scenario;
use magnoliahatch_bench::load::summary::Summary;
use magnoliahatch_bench::load::token_bucket::TokenBucket;
use magnoliahatch_client::settings;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;

fn plan(offered: &[LoadStep]) -> OrganisationPlan {
    let plan = json!({
        "name": "org-a", "rate": 1000, "burst": 50, "sessions": 4,
        "writes": 0.5, "transactions": 0.4, "offered": offered,
    });
    serde_json::from_value(plan).unwrap()
}

fn load_step(from_ms: u64, multiple: f64, burst: u32) -> LoadStep {
    LoadStep {
        from_ms,
        multiple,
        burst,
    }
}

fn arrivals(offered: &[LoadStep], seed: u64) -> Vec<Duration> {
    let random = StdRng::seed_from_u64(seed);
    Arrivals::new(&plan(offered), Duration::from_secs(20), random).collect()
}

#[test]
fn arrivals_follow_the_offered_load_in_statements() {
    let times = arrivals(&[load_step(0, 0.5, 0), load_step(10_000, 3.0, 0)], 1);
    let half = Duration::from_secs(10);
    let before = times.iter().filter(|at| **at < half).count() as f64;
    let after = times.len() as f64 - before;
    // 20% of the operations are transactions of 4 statements: 1.6 statements each.
    assert!((before - 10.0 * 500.0 / 1.6).abs() < 250.0, "{before}");
    assert!((after - 10.0 * 3000.0 / 1.6).abs() < 600.0, "{after}");
    assert!(times.is_sorted());
    assert!(times.iter().all(|at| *at < Duration::from_secs(20)));
}

#[test]
fn arrivals_repeat_with_their_seed_and_include_bursts() {
    let offered = [load_step(0, 0.1, 0), load_step(5000, 0.0, 160)];
    assert_eq!(arrivals(&offered, 7), arrivals(&offered, 7));
    assert_ne!(arrivals(&offered, 7), arrivals(&offered, 8));
    let at_once = Duration::from_secs(5);
    let burst = arrivals(&offered, 7)
        .iter()
        .filter(|at| **at == at_once)
        .count();
    assert_eq!(burst, 100);
}

#[test]
fn token_bucket_admits_burst_and_rate_and_charges_nothing_for_excess() {
    let mut bucket = TokenBucket::new(10.0, 5.0);
    let now = Duration::from_secs(1);
    assert_eq!((0..20).filter(|_| bucket.try_take(now, 1)).count(), 5);
    let later = now + Duration::from_millis(300);
    assert_eq!((0..20).filter(|_| bucket.try_take(later, 1)).count(), 3);
    assert!(!bucket.try_take(later + Duration::from_millis(200), 4));
    assert!(bucket.try_take(later + Duration::from_millis(200), 2));
}

#[test]
fn outcome_comes_from_the_detail_first() {
    let refused = |code: &str, detail: &str| {
        let failure = Failure::Refused {
            code: code.to_owned(),
            message: String::new(),
            detail: detail.to_owned(),
        };
        failure.outcome()
    };
    assert_eq!(refused("53300", "outcome=not_run"), Outcome::NotRun);
    assert_eq!(
        refused("40001", "outcome=unknown; retry later"),
        Outcome::Unknown
    );
    assert_eq!(refused("42601", "outcome=ran"), Outcome::Ran);
    assert_eq!(refused("08007", ""), Outcome::Unknown);
    assert_eq!(refused("42601", ""), Outcome::NotRun);
    assert_eq!(refused("53300", "outcome=else"), Outcome::Unknown);
    assert_eq!(Failure::TimedOut.outcome(), Outcome::Unknown);
    assert_eq!(Failure::Lost(String::new()).outcome(), Outcome::Unknown);
    assert_eq!(Failure::Connect(String::new()).outcome(), Outcome::NotRun);
}

fn sample(kind: OperationKind, intended_ms: u64, answered_ms: u64, outcome: Outcome) -> Sample {
    Sample {
        organisation: 0,
        database: 0,
        kind,
        intended: Duration::from_millis(intended_ms),
        answered: Duration::from_millis(answered_ms),
        outcome,
        served: outcome == Outcome::Ran,
        inside: true,
        statements: 1,
        failures: Vec::new(),
    }
}

#[test]
fn summary_counts_waiting_time_and_only_refusals_inside_the_contract() {
    let mut samples = [
        sample(OperationKind::Read, 0, 100, Outcome::Ran),
        sample(OperationKind::Write, 0, 10, Outcome::Ran),
        sample(OperationKind::Write, 0, 10, Outcome::Unknown),
        sample(OperationKind::Read, 0, 10, Outcome::NotRun),
    ];
    samples[2].inside = false;
    let failed = |refused, inside, outcome| FailedAttempt {
        code: "53300".to_owned(),
        refused,
        outcome,
        inside,
    };
    samples[3].failures = vec![
        failed(true, true, Outcome::NotRun),
        failed(true, false, Outcome::NotRun),
        failed(true, true, Outcome::Unknown),
        failed(false, true, Outcome::NotRun),
    ];
    let summary = Summary::of("org-a".to_owned(), &samples.iter().collect::<Vec<_>>());
    assert_eq!((summary.offered, summary.inside, summary.served), (4, 3, 2));
    assert_eq!(
        (summary.wrongful, summary.unknown, summary.failures["53300"]),
        (1, 1, 4)
    );
    assert!((summary.ratio - 2.0 / 3.0).abs() < 1e-9);
    assert!(
        (summary.reads.max_ms - 100.0).abs() < 0.2,
        "{}",
        summary.reads.max_ms
    );
}

#[test]
fn failover_gap_ignores_answers_in_transit_and_writes_that_were_not_acknowledged() {
    let fault = InjectedFault {
        statements: None,
        ended: Duration::ZERO,
        at: Duration::from_millis(1000),
        action: FaultAction::KillPrimary {
            database: "db".to_owned(),
        },
        process: Some("m1".to_owned()),
        error: None,
    };
    let mut samples: Vec<Sample> = (0..100)
        .map(|n| sample(OperationKind::Write, 0, 10 * n, Outcome::Ran))
        .collect();
    samples.push(sample(OperationKind::Write, 0, 1003, Outcome::Ran));
    samples.push(sample(OperationKind::Write, 0, 1500, Outcome::Unknown));
    samples.push(sample(OperationKind::Read, 0, 1600, Outcome::Ran));
    let measure = |samples: &[Sample]| {
        failover::measure(&fault, "db", &samples.iter().collect::<Vec<_>>()).gap_ms
    };
    assert_eq!(measure(&samples[..100]), None);
    samples.push(sample(OperationKind::Transaction, 0, 2503, Outcome::Ran));
    samples.push(sample(OperationKind::Write, 0, 2510, Outcome::Ran));
    assert_eq!(measure(&samples), Some(1500.0));
}

#[test]
fn comparison_gives_medians_ranges_and_ratios_to_the_first_variant() {
    let report = |variant: &str, share: f64| Report {
        scenario: "s".to_owned(),
        variant: variant.to_owned(),
        repeat: 0,
        seed: 1,
        length_ms: 1,
        organisations: Vec::new(),
        phases: Vec::new(),
        reads: ReadShare {
            primaries: 1,
            replicas: 1,
            share,
        },
        failovers: Vec::new(),
        faults: Vec::new(),
        verdict: Verdict {
            records: 0,
            violations: Vec::new(),
        },
    };
    let reports = [
        report("a", 0.9),
        report("b", 0.1),
        report("a", 0.2),
        report("b", 0.6),
        report("a", 0.4),
        report("b", 0.2),
    ];
    let comparison = Comparison::of(&reports);
    assert_eq!((comparison.repeats, comparison.variants.len()), (3, 2));
    let share_row = &comparison.rows[0];
    assert_eq!(share_row.medians, [Some(0.4), Some(0.2)]);
    assert_eq!(share_row.ratios, [Some(1.0), Some(0.5)]);
    assert_eq!(share_row.ranges, [Some((0.2, 0.9)), Some((0.1, 0.6))]);
    let gap_row = &comparison.rows[1];
    assert_eq!((gap_row.medians[0], gap_row.ratios[0]), (None, None));
}

#[test]
fn scenario_files_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut count = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let scenario: Scenario = settings::load(&path).unwrap();
        scenario.validate().unwrap();
        count += 1;
    }
    assert!(count > 0);
}

#[test]
fn phase_counts_operations_by_the_time_at_which_they_were_due() {
    let mut samples = vec![
        sample(OperationKind::Read, 999, 1500, Outcome::Ran),
        sample(OperationKind::Read, 1000, 1010, Outcome::Ran),
        sample(OperationKind::Read, 1999, 2500, Outcome::NotRun),
        sample(OperationKind::Read, 2000, 2010, Outcome::Ran),
    ];
    samples.push(Sample {
        organisation: 1,
        ..samples[1].clone()
    });
    let phase = Phase {
        name: "p".to_owned(),
        from_ms: 1000,
        to_ms: 2000,
    };
    let names = ["org-a".to_owned(), "org-b".to_owned()];
    let report = PhaseReport::of(&phase, &names, &samples);
    let counts: Vec<_> = report
        .organisations
        .iter()
        .map(|s| (s.offered, s.served))
        .collect();
    assert_eq!(counts, [(2, 1), (1, 1)]);
}

#[test]
fn error_before_the_end_of_a_connection_counts_only_with_a_stated_outcome() {
    let outcome_after_disconnect = |detail: &str| {
        let failure = Failure::Refused {
            code: "57P01".to_owned(),
            message: String::new(),
            detail: detail.to_owned(),
        };
        failure.after_disconnect().outcome()
    };
    assert_eq!(outcome_after_disconnect("outcome=not_run"), Outcome::NotRun);
    assert_eq!(outcome_after_disconnect(""), Outcome::Unknown);
}

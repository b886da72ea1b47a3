//! Guards against load that depends on the answers, or is charged against a wrong allowance.

use std::time::Duration;

use magnoliahatch_bench::history::outcome::Outcome;
use magnoliahatch_bench::load::allowance::Allowance;
use magnoliahatch_bench::load::arrivals::Arrivals;
use magnoliahatch_bench::load::failure::Failure;
use magnoliahatch_bench::load::organisation::Offer;
use magnoliahatch_bench::load::organisation::OrganisationPlan;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::json;

fn plan(offered: &[Offer]) -> OrganisationPlan {
    let plan = json!({
        "name": "org-a", "rate": 1000, "burst": 50, "sessions": 4,
        "writes": 0.5, "transactions": 0.4, "offered": offered,
    });
    serde_json::from_value(plan).unwrap()
}

fn offer(from_ms: u64, multiple: f64, burst: u32) -> Offer {
    Offer {
        from_ms,
        multiple,
        burst,
    }
}

fn arrivals(offered: &[Offer], seed: u64) -> Vec<Duration> {
    let random = StdRng::seed_from_u64(seed);
    Arrivals::new(&plan(offered), Duration::from_secs(20), random).collect()
}

#[test]
fn arrivals_follow_the_offered_load_in_statements() {
    let times = arrivals(&[offer(0, 0.5, 0), offer(10_000, 3.0, 0)], 1);
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
    let offered = [offer(0, 0.1, 0), offer(5000, 0.0, 160)];
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
fn allowance_admits_burst_and_rate_and_ignores_what_is_outside() {
    let mut allowance = Allowance::new(10.0, 5.0);
    let now = Duration::from_secs(1);
    assert_eq!((0..20).filter(|_| allowance.take(now, 1)).count(), 5);
    let later = now + Duration::from_millis(300);
    assert_eq!((0..20).filter(|_| allowance.take(later, 1)).count(), 3);
    assert!(!allowance.take(later + Duration::from_millis(200), 4));
    assert!(allowance.take(later + Duration::from_millis(200), 2));
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
    assert_eq!(Failure::Lost(String::new()).outcome(), Outcome::Unknown);
    assert_eq!(Failure::Connect(String::new()).outcome(), Outcome::NotRun);
}

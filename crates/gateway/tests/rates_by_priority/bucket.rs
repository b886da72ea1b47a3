//! The bound of the rate, and equality with grants in order of arrival.

use std::time::Duration;

use magnoliahatch_gateway::model::configuration::Rate;
use magnoliahatch_gateway::model::token_request::TokenRequest;
use magnoliahatch_gateway::policy::quota::QuotaTable;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Fixed so that CI runs are reproducible; proptest prints it on a failure.
const SEED: u64 = 20_261_206;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn requests() -> impl Strategy<Value = Vec<TokenRequest>> {
    let request = (0_u32..4, 0_u32..12, 0_u32..9);
    let request = request.prop_map(|(priority, arrived, wanted)| TokenRequest {
        priority,
        arrived,
        wanted,
    });
    proptest::collection::vec(request, 1..4)
}

proptest! {
    #![proptest_config(Config {
        cases: 300,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// For the same requests, the sum of grants at any time must not exceed what the bucket gives in
    /// order of arrival, and no request may get more than it wants.
    #[test]
    fn grants_never_exceed_the_bucket(
        per_second in 1.0_f64..300.0,
        burst in 1.0_f64..300.0,
        share in 0.2_f64..1.0,
        steps in proptest::collection::vec((0_u64..400, requests()), 1..200),
    ) {
        let rate = Rate { per_second, burst };
        let (mut ranked, mut plain) = (QuotaTable::default(), QuotaTable::default());
        let (mut by_priority, mut in_order) = (0, 0);
        let mut now = 0;
        for (pause, requests) in steps {
            now += pause;
            let granted = ranked.grant("org", rate, share, &requests, millis(now));
            prop_assert_eq!(granted.len(), requests.len());
            for (request, count) in requests.iter().zip(&granted) {
                prop_assert!(*count <= request.wanted);
            }
            by_priority += granted.iter().sum::<u32>();
            let wanted = requests.iter().map(|r| r.wanted).sum();
            in_order += plain.take("org", rate, share, wanted, millis(now));
            prop_assert!(by_priority <= in_order, "{by_priority} granted, {in_order} allowed");
        }
    }

    /// With one priority, each request must get the same tokens as in order of arrival.
    #[test]
    fn one_priority_is_granted_token_by_token_as_without_ranks(
        priority in 0_u32..4,
        per_second in 1.0_f64..300.0,
        burst in 1.0_f64..300.0,
        steps in proptest::collection::vec((0_u64..200, 0_u32..12, 0_u32..9), 1..200),
    ) {
        let rate = Rate { per_second, burst };
        let (mut ranked, mut plain) = (QuotaTable::default(), QuotaTable::default());
        let mut now = 0;
        for (pause, arrived, wanted) in steps {
            now += pause;
            let request = TokenRequest { priority, arrived, wanted };
            let granted = ranked.grant("org", rate, 1.0, &[request], millis(now));
            let expected = plain.take("org", rate, 1.0, wanted, millis(now));
            prop_assert_eq!(granted, vec![expected]);
        }
    }
}

fn arrived(priority: u32, arrived: u32) -> TokenRequest {
    TokenRequest {
        priority,
        arrived,
        wanted: arrived,
    }
}

/// A full bucket must give a token to any priority: the refill would otherwise be lost.
#[test]
fn full_bucket_serves_any_priority() {
    for burst in [1.0, 1.2, 2.0, 5.0, 50.0] {
        let rate = Rate {
            per_second: 100.0,
            burst,
        };
        let mut table = QuotaTable::default();
        let urgent = arrived(0, 1000);
        table.grant("org", rate, 1.0, &[urgent], millis(0));
        let lowest = arrived(2, 60);
        let granted = table.grant("org", rate, 1.0, &[lowest], millis(900));
        assert!(granted[0] >= 1, "{granted:?} of {burst} tokens");
        // The others are reserved, where the bucket holds more than a few.
        assert!(
            f64::from(granted[0]) <= 1.0 + burst / 4.0,
            "{granted:?} of {burst} tokens"
        );
    }
}

/// Within one call the highest priority must be served first, whatever the order of the requests.
#[test]
fn higher_priority_of_a_call_comes_first() {
    let rate = Rate {
        per_second: 10.0,
        burst: 10.0,
    };
    let mut table = QuotaTable::default();
    table.fill("org", rate, 4.0, millis(0));
    let requests = [arrived(2, 4), arrived(0, 3)];
    let granted = table.grant("org", rate, 1.0, &requests, millis(0));
    assert_eq!(granted, [1, 3]);
}

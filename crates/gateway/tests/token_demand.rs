//! Load pattern: the operations of an organisation come in groups and through many hosts, each of
//! which sees few of them. Guards against tokens that expire unused on the hosts while operations inside the rate
//! are refused (3% of the requests of a quiet day with 195 hosts).

use std::time::Duration;

use magnoliahatch_gateway::model::configuration::Rate;
use magnoliahatch_gateway::policy::quota::QuotaTable;
use magnoliahatch_gateway::policy::token_demand::TokenDemand;

/// Operations that arrive at the same time.
const GROUP: u64 = 10;
const LIFETIME: Duration = Duration::from_millis(500);

/// Runs `per_second` operations for 20 s through `hosts` hosts in turn, at 1.6 times which the rate
/// is set. Returns the share of refused operations after the first second, and the calls for each
/// operation.
fn run(hosts: usize, per_second: u64) -> (f64, f64) {
    let rate = Rate {
        per_second: per_second as f64 * 1.6,
        burst: per_second as f64 * 1.6,
    };
    let mut table = QuotaTable::default();
    let mut demands: Vec<TokenDemand> = (0..hosts).map(|_| TokenDemand::default()).collect();
    let mut unused = vec![(0, Duration::ZERO); hosts];
    let (mut refused, mut calls, mut counted) = (0, 0, 0);
    for operation in 0..20 * per_second {
        let group = operation / GROUP * GROUP;
        let now = Duration::from_micros(group * 1_000_000 / per_second);
        let host = (operation as usize * 7919) % hosts;
        demands[host].record(now);
        let warm = now > Duration::from_secs(1);
        counted += u64::from(warm);
        let (left, granted_at) = &mut unused[host];
        if *left > 0 && now - *granted_at <= LIFETIME {
            *left -= 1;
            continue;
        }
        calls += u64::from(warm);
        let batch = demands[host].batch(LIFETIME);
        let granted = table.take("org", rate, 1.0, batch, now);
        unused[host] = (granted.saturating_sub(1), now);
        refused += u64::from(warm && granted == 0);
    }
    let share = |count: u64| count as f64 / counted as f64;
    (share(refused), share(calls))
}

#[test]
fn operations_through_many_hosts_are_not_refused() {
    for hosts in [1, 7, 60, 195, 520] {
        for per_second in [10, 60, 300] {
            let (refused, _) = run(hosts, per_second);
            assert!(
                refused < 0.002,
                "{refused} of {per_second}/s through {hosts} hosts refused"
            );
        }
    }
}

/// A host with many operations asks once for several of them.
#[test]
fn busy_host_asks_once_for_several_operations() {
    let (_, calls) = run(1, 60);
    assert!(calls < 0.2, "{calls} calls for each operation");
}

//! Draws a fleet and its load.

use magnoliahatch_core::seat::LEASE_DURATION;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::Value;
use serde_json::json;

use crate::load::error::LoadError;
use crate::load::scenario::Scenario;
use crate::soak::case::Case;
use crate::soak::series;

/// Load before the first fault.
pub(crate) const CALM_MS: u64 = 1_500;
/// Time from the end of the last fault until service is asked for: a host that lost its seat gets
/// it back after two leases, that of its replacement and its own.
pub(crate) const RECOVERY_MS: u64 = 2 * LEASE_DURATION.as_millis() as u64;
/// Time in which service is measured after that.
const MEASURED_MS: u64 = 4_000;
/// Places of hosts and members; regions differ, so that messages take time to cross.
const PLACES: [(&str, &str); 3] = [("a", "north"), ("b", "central"), ("c", "south")];
/// Fewest and most hosts. Three are the fewest with a majority that survives a loss.
const HOSTS: (usize, usize) = (3, 5);
/// Most databases.
const DATABASES: usize = 2;
/// Connections of each host at each member.
const CONNECTIONS: usize = 6;
/// Connections that a member accepts beyond the limit, so that an excess is counted.
const SPARE: u32 = 8;
/// Limit of a graceful shutdown for open transactions; below the time until the next start.
const STOP_TIMEOUT_MS: u64 = 2_000;
/// Limit of a caller for each statement.
const DEADLINE_MS: u64 = 8_000;

/// Fleet, load and faults of a case. The part after the recovery is the only phase.
pub fn scenario(case: &Case) -> Result<Scenario, LoadError> {
    let mut random = StdRng::seed_from_u64(case.seed);
    let hosts = random.random_range(HOSTS.0..=HOSTS.1);
    let hosts = case.hosts.unwrap_or(hosts);
    let databases = random.random_range(1..=DATABASES);
    let databases = case.databases.unwrap_or(databases);
    let quiet = CALM_MS + case.faults_ms;
    let measured = quiet + RECOVERY_MS;
    let drawn = json!({
        "name": "soak",
        "length_ms": measured + MEASURED_MS,
        "deadline_ms": DEADLINE_MS,
        "fleet": fleet(hosts, databases, &mut random),
        "organisations": organisations(quiet, &mut random),
        "phases": [{"name": "after", "from_ms": measured, "to_ms": measured + MEASURED_MS}],
    });
    let mut scenario: Scenario = serde_json::from_value(drawn)?;
    scenario.faults = series::draw(&scenario.fleet, case, &mut random);
    scenario.validate()?;
    Ok(scenario)
}

fn fleet(hosts: usize, databases: usize, random: &mut StdRng) -> Value {
    let place = |index: usize| PLACES[index % PLACES.len()].0;
    let host = |index| json!({"name": format!("host-{}", index + 1), "data_centre": place(index)});
    let database = |number: usize| {
        let member = |index: usize| {
            let name = format!("db-{}-{}", number + 1, index + 1);
            json!({"name": name, "data_centre": place(number + index)})
        };
        json!({
            "name": format!("db-{}", number + 1),
            "slots": 4,
            "connections": CONNECTIONS * hosts,
            "members": (0..PLACES.len()).map(member).collect::<Vec<_>>(),
        })
    };
    let centre = |(name, region): (&str, &str)| json!({"name": name, "region": region});
    json!({
        "data_centres": PLACES.map(centre),
        "hosts": (0..hosts).map(host).collect::<Vec<_>>(),
        "databases": (0..databases).map(database).collect::<Vec<_>>(),
        "latency": {
            "data_centres_us": 500,
            "regions_us": random.random_range(1_000..10_000),
            "clients_us": 200,
        },
        "members": {
            "lag_ms": random.random_range(0..100),
            "spare_connections": SPARE,
        },
        "identify_sources": true,
        "daemon": {"log": {"format": "json", "filter": "info"}, "stop_timeout_ms": STOP_TIMEOUT_MS},
    })
}

/// An organisation that repeats with request ids and moves between hosts, one with transactions
/// that repeats what did not run, and one that sends several times its rate for a while.
fn organisations(quiet: u64, random: &mut StdRng) -> Value {
    let flood = random.random_range(CALM_MS..quiet);
    let retry = |id: bool| json!({"attempts": 6, "wait_ms": 100, "request_id": id});
    json!([
        {"name": "alder", "rate": 100, "burst": 60, "sessions": 10, "writes": 0.5,
         "transactions": 0.4, "roam": 0.02, "retry": retry(false),
         "offered": [{"from_ms": 0, "multiple": 0.5}]},
        {"name": "birch", "rate": 100, "burst": 60, "sessions": 10, "writes": 0.4, "roam": 0.2,
         "max_age_ms": 0, "retry": retry(true), "offered": [{"from_ms": 0, "multiple": 0.4}]},
        {"name": "cedar", "rate": 60, "burst": 30, "sessions": 8, "writes": 0.2,
         "retry": retry(false),
         "offered": [{"from_ms": 0, "multiple": 0.4}, {"from_ms": flood, "multiple": 4.0},
                     {"from_ms": quiet, "multiple": 0.4}]},
    ])
}

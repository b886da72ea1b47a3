//! Measures the cost of callers: open connections, statements, and the overhead of the proxy
//! compared with a direct connection.

use std::net::SocketAddr;
use std::time::Duration;

use futures::StreamExt;
use magnoliahatch_client::objects::database::Database;
use magnoliahatch_client::objects::kind;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::capacity::error::CapacityError;
use crate::capacity::fleet_size;
use crate::capacity::fleet_size::FleetSize;
use crate::capacity::idle;
use crate::capacity::idle::WindowSettings;
use crate::capacity::report::Row;
use crate::capacity::report::medians;
use crate::capacity::report::quantile;
use crate::capacity::sample::CounterReader;
use crate::capacity::sample::Values;
use crate::harness::fleet::Fleet;
use crate::load::connection::Connection;
use crate::load::prepare;
use crate::load::statement;
use crate::load::target::Caller;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of connections that are opened concurrently.
const CONCURRENT_OPENS: usize = 32;
/// Number of keys that reads select from.
const KEYS: u64 = 100;
/// Connections opened per repeat to measure the time to connect.
const CONNECTS_PER_REPEAT: usize = 50;
/// User of data connections to a member.
const MEMBER_USER: &str = "proxy";

/// Starts a fleet of one daemon and one database, and inserts one row per key.
pub async fn start_fleet(seed: u64) -> Result<Fleet, CapacityError> {
    let size = FleetSize {
        daemons: 1,
        databases: 1,
        organisations: 1,
    };
    let mut fleet = size.start().await?;
    idle::wait_until_settled(&mut fleet).await?;
    let entries = fleet_size::entries(&mut fleet)?;
    let caller = fleet_size::caller(&fleet, 0)?;
    let deadline = Instant::now() + prepare::SERVING_TIMEOUT;
    prepare::create_table(&entries, &caller, deadline).await?;
    let mut connection =
        Connection::open(entries[0].sql_address, &caller, None, REQUEST_TIMEOUT).await?;
    let mut random = StdRng::seed_from_u64(seed);
    for key in 0..KEYS {
        let sql = statement::insert(&caller.organisation, key, random.random_range(0..1 << 40));
        connection.query(&sql, REQUEST_TIMEOUT).await?;
    }
    Ok(fleet)
}

/// Measures memory and CPU time of a daemon with idle connections. `sizes` must be in ascending
/// order.
pub async fn connections(sizes: &[usize], seed: u64) -> Result<Vec<Row>, CapacityError> {
    let mut fleet = start_fleet(seed).await?;
    let sql_address = fleet_size::entries(&mut fleet)?[0].sql_address;
    let caller = fleet_size::caller(&fleet, 0)?;
    let reader = CounterReader::open(&mut fleet)?;
    let mut open = Vec::new();
    let mut rows = Vec::new();
    for &size in sizes {
        let needed = size.saturating_sub(open.len());
        let opening =
            (0..needed).map(|_| Connection::open(sql_address, &caller, None, REQUEST_TIMEOUT));
        let mut opening = futures::stream::iter(opening).buffer_unordered(CONCURRENT_OPENS);
        while let Some(connection) = opening.next().await {
            open.push(connection?);
        }
        let before = reader.read().await?;
        sleep(Duration::from_secs(5)).await;
        rows.push(Row {
            axis: "connections",
            size: size as f64,
            window: "idle",
            values: reader.read().await?.rates(&before),
        });
    }
    Ok(rows)
}

/// Measures the CPU time of a daemon that serves reads or writes of concurrent sessions.
pub async fn statements(
    sessions: &[usize],
    windows: WindowSettings,
    seed: u64,
) -> Result<Vec<Row>, CapacityError> {
    let mut fleet = start_fleet(seed).await?;
    let sql_address = fleet_size::entries(&mut fleet)?[0].sql_address;
    let caller = fleet_size::caller(&fleet, 0)?;
    let reader = CounterReader::open(&mut fleet)?;
    let mut rows = Vec::new();
    for (window, writes) in [("reads", false), ("writes", true)] {
        for &count in sessions {
            let mut runs = Vec::new();
            for repeat in 0..windows.repeats {
                let before = reader.read().await?;
                let seed = seed + u64::from(repeat);
                let times =
                    run_sessions(sql_address, &caller, count, writes, windows.length, seed).await?;
                let after = reader.read().await?;
                let cpu = after.increase(&before, "process_cpu_us");
                let control = after.increase(&before, "control_cpu_us");
                let seconds = after.increase(&before, "uptime_us") / 1e6;
                let statements = times.len() as f64;
                runs.push(Values::from([
                    ("statements_s", statements / seconds),
                    ("data_cpu_us_each", (cpu - control) / statements),
                    ("control_cpu_us_each", control / statements),
                    (
                        "verb_calls_each",
                        after.increase(&before, "verb_calls") / statements,
                    ),
                    ("p50_us", quantile(times.clone(), 0.5)),
                    ("p99_us", quantile(times, 0.99)),
                ]));
            }
            rows.push(Row {
                axis: "sessions",
                size: count as f64,
                window,
                values: medians(&runs),
            });
        }
    }
    Ok(rows)
}

/// Compares reads through a daemon with reads on a direct connection to a member, in alternation.
pub async fn hop(windows: WindowSettings, seed: u64) -> Result<Vec<Row>, CapacityError> {
    let mut fleet = start_fleet(seed).await?;
    let sql_address = fleet_size::entries(&mut fleet)?[0].sql_address;
    let caller = fleet_size::caller(&fleet, 0)?;
    // The daemon connects to the member through the same link of the fault proxy.
    let object = fleet.store.get(kind::DATABASE, &caller.route).await;
    let object = object.map_err(crate::harness::error::HarnessError::from)?;
    let database: Database = serde_json::from_value(object.value)?;
    let member_address = database.members[0].address;
    let member = Caller {
        organisation: MEMBER_USER.to_owned(),
        ..caller.clone()
    };
    let mut rows = Vec::new();
    for count in [1, 8] {
        let mut runs = Vec::new();
        for repeat in 0..windows.repeats {
            let seed = seed + u64::from(repeat);
            let direct_times =
                run_sessions(member_address, &member, count, false, windows.length, seed).await?;
            let proxied_times =
                run_sessions(sql_address, &caller, count, false, windows.length, seed).await?;
            let connect_direct = median_connect_time(member_address, &member).await?;
            let connect_proxied = median_connect_time(sql_address, &caller).await?;
            let mut values = Values::from([
                (
                    "direct_s",
                    direct_times.len() as f64 / windows.length.as_secs_f64(),
                ),
                (
                    "hop_s",
                    proxied_times.len() as f64 / windows.length.as_secs_f64(),
                ),
                ("connect_direct_us", connect_direct),
                ("connect_hop_us", connect_proxied),
            ]);
            for (fraction, direct, hop, ratio) in [
                (0.5, "direct_p50_us", "hop_p50_us", "ratio_p50"),
                (0.99, "direct_p99_us", "hop_p99_us", "ratio_p99"),
            ] {
                let (direct_us, proxied_us) = (
                    quantile(direct_times.clone(), fraction),
                    quantile(proxied_times.clone(), fraction),
                );
                values.extend([
                    (direct, direct_us),
                    (hop, proxied_us),
                    (ratio, proxied_us / direct_us),
                ]);
            }
            runs.push(values);
        }
        rows.push(Row {
            axis: "hop sessions",
            size: count as f64,
            window: "reads",
            values: medians(&runs),
        });
    }
    Ok(rows)
}

/// Returns the median time to connect, in microseconds.
async fn median_connect_time(
    sql_address: SocketAddr,
    caller: &Caller,
) -> Result<f64, CapacityError> {
    let mut times = Vec::new();
    for _ in 0..CONNECTS_PER_REPEAT {
        let started = Instant::now();
        let connection = Connection::open(sql_address, caller, None, REQUEST_TIMEOUT).await?;
        times.push(started.elapsed().as_secs_f64() * 1e6);
        connection.close().await;
    }
    Ok(quantile(times, 0.5))
}

/// Runs statements in concurrent sessions. Each session sends its next statement as soon as the
/// previous one is answered. Returns the response times in microseconds.
async fn run_sessions(
    sql_address: SocketAddr,
    caller: &Caller,
    sessions: usize,
    writes: bool,
    length: Duration,
    seed: u64,
) -> Result<Vec<f64>, CapacityError> {
    let mut tasks = JoinSet::new();
    for session in 0..sessions {
        let caller = caller.clone();
        let mut random = StdRng::seed_from_u64(seed ^ ((session as u64) << 32));
        tasks.spawn(async move {
            let mut connection =
                Connection::open(sql_address, &caller, None, REQUEST_TIMEOUT).await?;
            let mut times = Vec::new();
            let start = Instant::now();
            while start.elapsed() < length {
                let key = random.random_range(0..KEYS);
                let sql = match writes {
                    // Writes use keys that no read selects, so that reads return the same rows.
                    true => statement::insert(
                        &caller.organisation,
                        KEYS + key,
                        random.random_range(0..1 << 40),
                    ),
                    false => statement::select(key),
                };
                let started = Instant::now();
                connection.query(&sql, REQUEST_TIMEOUT).await?;
                times.push(started.elapsed().as_secs_f64() * 1e6);
            }
            Ok::<_, CapacityError>(times)
        });
    }
    let mut all = Vec::new();
    while let Some(times) = tasks.join_next().await {
        all.extend(times??);
    }
    Ok(all)
}

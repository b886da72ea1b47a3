//! Costs of callers: open connections, statements, and the hop against a direct connection.

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
use crate::capacity::idle;
use crate::capacity::idle::Windows;
use crate::capacity::report::Row;
use crate::capacity::report::medians;
use crate::capacity::report::quantile;
use crate::capacity::sample::Reader;
use crate::capacity::sample::Values;
use crate::capacity::size;
use crate::capacity::size::Size;
use crate::harness::fleet::Fleet;
use crate::load::connection::Connection;
use crate::load::prepare;
use crate::load::statement;
use crate::load::target::Caller;

const LIMIT: Duration = Duration::from_secs(10);
/// Connections that are opened at once.
const OPENING: usize = 32;
/// Rows that reads select from.
const KEYS: u64 = 100;
/// Connections opened per repeat to measure the time to connect.
const CONNECTS: usize = 50;
/// User of data connections to a member.
const DATA_USER: &str = "proxy";

/// A fleet of one daemon and one database with rows in it.
pub async fn start(seed: u64) -> Result<Fleet, CapacityError> {
    let size = Size {
        daemons: 1,
        databases: 1,
        organisations: 1,
    };
    let mut fleet = size.start().await?;
    idle::settle(&mut fleet).await?;
    let entries = size::entries(&mut fleet)?;
    let caller = size::caller(&fleet, 0)?;
    let deadline = Instant::now() + prepare::SERVING_LIMIT;
    prepare::create(&entries, &caller, deadline).await?;
    let mut connection = Connection::open(entries[0].sql, &caller, None, LIMIT).await?;
    let mut random = StdRng::seed_from_u64(seed);
    for key in 0..KEYS {
        let sql = statement::insert(&caller.organisation, key, random.random_range(0..1 << 40));
        connection.query(&sql, LIMIT).await?;
    }
    Ok(fleet)
}

/// Memory and processor time of a daemon with idle connections; sizes in rising order.
pub async fn connections(sizes: &[usize], seed: u64) -> Result<Vec<Row>, CapacityError> {
    let mut fleet = start(seed).await?;
    let sql = size::entries(&mut fleet)?[0].sql;
    let caller = size::caller(&fleet, 0)?;
    let reader = Reader::open(&mut fleet)?;
    let mut open = Vec::new();
    let mut rows = Vec::new();
    for &size in sizes {
        let missing = size.saturating_sub(open.len());
        let opening = (0..missing).map(|_| Connection::open(sql, &caller, None, LIMIT));
        let mut opening = futures::stream::iter(opening).buffer_unordered(OPENING);
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

/// Processor time of a daemon under reads or writes from several sessions at once.
pub async fn statements(
    sessions: &[usize],
    windows: Windows,
    seed: u64,
) -> Result<Vec<Row>, CapacityError> {
    let mut fleet = start(seed).await?;
    let sql = size::entries(&mut fleet)?[0].sql;
    let caller = size::caller(&fleet, 0)?;
    let reader = Reader::open(&mut fleet)?;
    let mut rows = Vec::new();
    for (window, writes) in [("reads", false), ("writes", true)] {
        for &count in sessions {
            let mut runs = Vec::new();
            for repeat in 0..windows.repeats {
                let before = reader.read().await?;
                let seed = seed + u64::from(repeat);
                let times = drive(sql, &caller, count, writes, windows.length, seed).await?;
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

/// Reads through a daemon and on a direct connection to a member, in turn.
pub async fn hop(windows: Windows, seed: u64) -> Result<Vec<Row>, CapacityError> {
    let mut fleet = start(seed).await?;
    let sql = size::entries(&mut fleet)?[0].sql;
    let caller = size::caller(&fleet, 0)?;
    // The daemon reaches the member through the same link of the fault proxy.
    let object = fleet.store.get(kind::DATABASE, &caller.route).await;
    let object = object.map_err(crate::harness::error::HarnessError::from)?;
    let database: Database = serde_json::from_value(object.value)?;
    let direct = database.members[0].address;
    let member = Caller {
        organisation: DATA_USER.to_owned(),
        ..caller.clone()
    };
    let mut rows = Vec::new();
    for count in [1, 8] {
        let mut runs = Vec::new();
        for repeat in 0..windows.repeats {
            let seed = seed + u64::from(repeat);
            let near = drive(direct, &member, count, false, windows.length, seed).await?;
            let far = drive(sql, &caller, count, false, windows.length, seed).await?;
            let connect_near = connects(direct, &member).await?;
            let connect_far = connects(sql, &caller).await?;
            let mut values = Values::from([
                ("direct_s", near.len() as f64 / windows.length.as_secs_f64()),
                ("hop_s", far.len() as f64 / windows.length.as_secs_f64()),
                ("connect_direct_us", connect_near),
                ("connect_hop_us", connect_far),
            ]);
            for (share, direct, hop, ratio) in [
                (0.5, "direct_p50_us", "hop_p50_us", "ratio_p50"),
                (0.99, "direct_p99_us", "hop_p99_us", "ratio_p99"),
            ] {
                let (near, far) = (quantile(near.clone(), share), quantile(far.clone(), share));
                values.extend([(direct, near), (hop, far), (ratio, far / near)]);
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

/// Median time to connect in microseconds.
async fn connects(sql: SocketAddr, caller: &Caller) -> Result<f64, CapacityError> {
    let mut times = Vec::new();
    for _ in 0..CONNECTS {
        let begun = Instant::now();
        let connection = Connection::open(sql, caller, None, LIMIT).await?;
        times.push(begun.elapsed().as_secs_f64() * 1e6);
        connection.close().await;
    }
    Ok(quantile(times, 0.5))
}

/// Runs statements from several sessions, each as soon as its last one was answered; returns
/// their times in microseconds.
async fn drive(
    sql: SocketAddr,
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
            let mut connection = Connection::open(sql, &caller, None, LIMIT).await?;
            let mut times = Vec::new();
            let start = Instant::now();
            while start.elapsed() < length {
                let key = random.random_range(0..KEYS);
                let sql = match writes {
                    // Written rows have keys that no read selects, so answers keep their size.
                    true => statement::insert(
                        &caller.organisation,
                        KEYS + key,
                        random.random_range(0..1 << 40),
                    ),
                    false => statement::select(key),
                };
                let begun = Instant::now();
                connection.query(&sql, LIMIT).await?;
                times.push(begun.elapsed().as_secs_f64() * 1e6);
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

//! Measures how long configuration changes and changes of primary take, and the messages that a
//! change of primary causes.

use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::capacity::error::CapacityError;
use crate::capacity::fleet_size;
use crate::capacity::fleet_size::FleetSize;
use crate::capacity::idle;
use crate::capacity::report::Row;
use crate::capacity::report::quantile;
use crate::capacity::sample::CounterReader;
use crate::capacity::sample::Sample;
use crate::capacity::sample::Values;
use crate::harness::error::HarnessError;
use crate::harness::fleet::Fleet;
use crate::load::connection::Connection;
use crate::load::statement;

/// Interval at which the state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time limit of a configuration change.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit of a change of primary.
const FAILOVER_TIMEOUT: Duration = Duration::from_secs(20);
/// Window in which the messages without a change of primary are counted.
const BASELINE_WINDOW: Duration = Duration::from_secs(5);
const CHANGE_COUNT: u32 = 10;

/// Counters of messages, and the names under which their increase above the baseline is reported.
const MESSAGE_COUNTERS: [(&str, &str); 3] = [
    ("mesh_sent_frames", "extra_mesh_frames"),
    ("verb_calls", "extra_verb_calls"),
    ("store_calls", "extra_store_calls"),
];

/// Measures the time until a configuration change is in force at every daemon.
pub async fn config_changes(size: FleetSize) -> Result<Vec<Row>, CapacityError> {
    let mut fleet = size.start().await?;
    idle::wait_until_settled(&mut fleet).await?;
    let reader = CounterReader::open(&mut fleet)?;
    let mut times = Vec::new();
    for number in 0..CHANGE_COUNT {
        let started = Instant::now();
        let revision = fleet_size::change_contract_rate(&fleet, number + 1).await?;
        while reader.revision().await? < revision {
            if started.elapsed() > CHANGE_TIMEOUT {
                let what = format!("revision {revision} is in force everywhere");
                return Err(HarnessError::Condition(what).into());
            }
            sleep(POLL_INTERVAL).await;
        }
        times.push(started.elapsed().as_secs_f64() * 1e3);
    }
    let values = Values::from([
        ("in_force_ms_median", quantile(times.clone(), 0.5)),
        ("in_force_ms_longest", quantile(times, 1.0)),
    ]);
    Ok(vec![Row {
        axis: "in force",
        size: size.daemons as f64,
        window: "change",
        values,
    }])
}

/// Measures changes of primary. Replaces the primary of one database after another, first by a
/// planned switchover, then by killing it.
pub async fn primary_changes(size: FleetSize) -> Result<Vec<Row>, CapacityError> {
    let mut fleet = size.start().await?;
    idle::wait_until_settled(&mut fleet).await?;
    let reader = CounterReader::open(&mut fleet)?;
    let before = reader.read().await?;
    sleep(BASELINE_WINDOW).await;
    let baseline = (before, reader.read().await?);
    let (mut planned, mut killed) = (Vec::new(), Vec::new());
    for database in 0..size.databases {
        let before = reader.read().await?;
        let started = Instant::now();
        let path = format!(
            "/databases/{}/switchover",
            fleet_size::database_name(database)
        );
        reader.post(&path, &json!({})).await?;
        write_until_ok(&mut fleet, database).await?;
        let time = started.elapsed();
        planned.push(event_values(
            time,
            &before,
            &reader.read().await?,
            &baseline,
        ));
    }
    for database in 0..size.databases {
        let primary = fleet.primary(&fleet_size::database_name(database)).await?;
        let before = reader.read().await?;
        let started = Instant::now();
        fleet.process(&primary)?.kill()?;
        write_until_ok(&mut fleet, database).await?;
        let time = started.elapsed();
        killed.push(event_values(
            time,
            &before,
            &reader.read().await?,
            &baseline,
        ));
    }
    let row = |window, runs: &[Values]| Row {
        axis: "primary",
        size: size.daemons as f64,
        window,
        values: medians_and_longest(runs),
    };
    Ok(vec![row("planned", &planned), row("killed", &killed)])
}

/// Retries a write through the first daemon until it succeeds.
async fn write_until_ok(fleet: &mut Fleet, database: usize) -> Result<(), CapacityError> {
    let entry = fleet_size::entries(fleet)?.swap_remove(0);
    let caller = fleet_size::caller(fleet, database)?;
    let started = Instant::now();
    loop {
        let result = async {
            let mut connection =
                Connection::open(entry.sql_address, &caller, None, FAILOVER_TIMEOUT).await?;
            connection
                .query(statement::CREATE_TABLE[0], FAILOVER_TIMEOUT)
                .await
        };
        match result.await {
            Ok(_) => return Ok(()),
            Err(failure) if started.elapsed() > FAILOVER_TIMEOUT => return Err(failure.into()),
            Err(_) => sleep(POLL_INTERVAL).await,
        }
    }
}

/// Returns the duration of a change of primary, and the number of messages above the baseline
/// rate.
fn event_values(
    time: Duration,
    before: &Sample,
    after: &Sample,
    baseline: &(Sample, Sample),
) -> Values {
    let seconds =
        after.increase(before, "uptime_us") / baseline.1.increase(&baseline.0, "uptime_us");
    let extra = MESSAGE_COUNTERS.map(|(counter, name)| {
        let expected = baseline.1.increase(&baseline.0, counter) * seconds;
        (name, after.increase(before, counter) - expected)
    });
    let mut values = Values::from(extra);
    values.insert("time_ms", time.as_secs_f64() * 1e3);
    values
}

/// Returns the medians, and the longest time.
fn medians_and_longest(runs: &[Values]) -> Values {
    let mut values = crate::capacity::report::medians(runs);
    let times = runs.iter().map(|run| run["time_ms"]).collect();
    values.insert("time_ms_longest", quantile(times, 1.0));
    values
}

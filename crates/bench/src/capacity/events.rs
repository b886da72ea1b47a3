//! Time and messages of a change of the configuration and of a change of primary.

use std::time::Duration;

use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::capacity::error::CapacityError;
use crate::capacity::idle;
use crate::capacity::report::Row;
use crate::capacity::report::quantile;
use crate::capacity::sample::Reader;
use crate::capacity::sample::Sample;
use crate::capacity::sample::Values;
use crate::capacity::size;
use crate::capacity::size::Size;
use crate::harness::error::HarnessError;
use crate::harness::fleet::Fleet;
use crate::load::connection::Connection;
use crate::load::statement;

/// Time between two looks at the revisions in force.
const POLL: Duration = Duration::from_millis(2);
/// Limits of a change of the configuration and of primary.
const IN_FORCE: Duration = Duration::from_secs(20);
const REPLACED: Duration = Duration::from_secs(20);
/// Window that gives the messages without a change of primary.
const QUIET: Duration = Duration::from_secs(5);
const CHANGES: u32 = 10;

/// Counters that are reported for a change of primary.
const MESSAGES: [(&str, &str); 3] = [
    ("mesh_sent_frames", "extra_mesh_frames"),
    ("verb_calls", "extra_verb_calls"),
    ("store_calls", "extra_store_calls"),
];

/// Times until changes are in force at every daemon.
pub async fn changes(size: Size) -> Result<Vec<Row>, CapacityError> {
    let mut fleet = size.start().await?;
    idle::settle(&mut fleet).await?;
    let reader = Reader::open(&mut fleet)?;
    let mut times = Vec::new();
    for number in 0..CHANGES {
        let begun = Instant::now();
        let revision = size::change(&fleet, number + 1).await?;
        while reader.revision().await? < revision {
            if begun.elapsed() > IN_FORCE {
                let what = format!("revision {revision} is in force everywhere");
                return Err(HarnessError::Condition(what).into());
            }
            sleep(POLL).await;
        }
        times.push(begun.elapsed().as_secs_f64() * 1e3);
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

/// Replaces the primary of each database, one after the other: by a planned change, then by
/// killing it.
pub async fn primaries(size: Size) -> Result<Vec<Row>, CapacityError> {
    let mut fleet = size.start().await?;
    idle::settle(&mut fleet).await?;
    let reader = Reader::open(&mut fleet)?;
    let before = reader.read().await?;
    sleep(QUIET).await;
    let quiet = (before, reader.read().await?);
    let (mut planned, mut killed) = (Vec::new(), Vec::new());
    for database in 0..size.databases {
        let before = reader.read().await?;
        let begun = Instant::now();
        let path = format!("/databases/{}/switchover", size::database_name(database));
        reader.post(&path, &json!({})).await?;
        write(&mut fleet, database).await?;
        let time = begun.elapsed();
        planned.push(costs(time, &before, &reader.read().await?, &quiet));
    }
    for database in 0..size.databases {
        let primary = fleet.primary(&size::database_name(database)).await?;
        let before = reader.read().await?;
        let begun = Instant::now();
        fleet.process(&primary)?.kill()?;
        write(&mut fleet, database).await?;
        let time = begun.elapsed();
        killed.push(costs(time, &before, &reader.read().await?, &quiet));
    }
    let row = |window, runs: &[Values]| Row {
        axis: "primary",
        size: size.daemons as f64,
        window,
        values: summary(runs),
    };
    Ok(vec![row("planned", &planned), row("killed", &killed)])
}

/// Writes through the first daemon until a write succeeds.
async fn write(fleet: &mut Fleet, database: usize) -> Result<(), CapacityError> {
    let entry = size::entries(fleet)?.swap_remove(0);
    let caller = size::caller(fleet, database)?;
    let begun = Instant::now();
    loop {
        let result = async {
            let mut connection = Connection::open(entry.sql, &caller, None, REPLACED).await?;
            connection.query(statement::CREATE[0], REPLACED).await
        };
        match result.await {
            Ok(_) => return Ok(()),
            Err(failure) if begun.elapsed() > REPLACED => return Err(failure.into()),
            Err(_) => sleep(POLL).await,
        }
    }
}

/// Time of a change and its messages above those of a window without one.
fn costs(time: Duration, before: &Sample, after: &Sample, quiet: &(Sample, Sample)) -> Values {
    let seconds = after.increase(before, "uptime_us") / quiet.1.increase(&quiet.0, "uptime_us");
    let extra = MESSAGES.map(|(counter, name)| {
        let usual = quiet.1.increase(&quiet.0, counter) * seconds;
        (name, after.increase(before, counter) - usual)
    });
    let mut values = Values::from(extra);
    values.insert("time_ms", time.as_secs_f64() * 1e3);
    values
}

/// Medians, and the longest time.
fn summary(runs: &[Values]) -> Values {
    let mut values = crate::capacity::report::medians(runs);
    let times = runs.iter().map(|run| run["time_ms"]).collect();
    values.insert("time_ms_longest", quantile(times, 1.0));
    values
}

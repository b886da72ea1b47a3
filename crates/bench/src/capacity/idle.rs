//! What a fleet spends on control without statements, with and without changes.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::capacity::error::CapacityError;
use crate::capacity::report::Row;
use crate::capacity::report::medians;
use crate::capacity::sample::Reader;
use crate::capacity::size;
use crate::capacity::size::Size;
use crate::harness::fleet::Fleet;
use crate::load::prepare;

/// Wait after the start, in which the seats' floors come into force and loans settle.
const SETTLE: Duration = Duration::from_secs(4);
/// Time between two changes of the configuration.
const CHANGE: Duration = Duration::from_millis(500);

/// How windows are measured.
#[derive(Debug, Clone, Copy)]
pub struct Windows {
    pub length: Duration,
    pub repeats: u32,
}

/// Waits until every daemon serves every database.
pub async fn settle(fleet: &mut Fleet) -> Result<(), CapacityError> {
    let entries = size::entries(fleet)?;
    let deadline = Instant::now() + prepare::SERVING_LIMIT;
    for database in 0..fleet.plan().databases.len() {
        let caller = size::caller(fleet, database)?;
        prepare::wait_for(&entries, &caller, deadline).await?;
    }
    sleep(SETTLE).await;
    Ok(())
}

/// Measures one size in windows without and with changes.
pub async fn measure(
    axis: &'static str,
    place: usize,
    size: Size,
    windows: Windows,
) -> Result<Vec<Row>, CapacityError> {
    let mut fleet = size.start().await?;
    settle(&mut fleet).await?;
    let reader = Reader::open(&mut fleet)?;
    let (mut quiet, mut changing) = (Vec::new(), Vec::new());
    for repeat in 0..windows.repeats {
        let before = reader.read().await?;
        sleep(windows.length).await;
        quiet.push(reader.read().await?.rates(&before));
        let before = reader.read().await?;
        let begun = Instant::now();
        let mut number = repeat * 1000;
        while begun.elapsed() < windows.length {
            let due = Instant::now() + CHANGE;
            number += 1;
            size::change(&fleet, number).await?;
            sleep_until(due).await;
        }
        changing.push(reader.read().await?.rates(&before));
    }
    let row = |window, runs: &[_]| Row {
        axis,
        size: place as f64,
        window,
        values: medians(runs),
    };
    Ok(vec![row("quiet", &quiet), row("changing", &changing)])
}

//! Measures the cost of control in a fleet without statements, with and without configuration
//! changes.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;

use crate::capacity::error::CapacityError;
use crate::capacity::fleet_size;
use crate::capacity::fleet_size::FleetSize;
use crate::capacity::report::Row;
use crate::capacity::report::medians;
use crate::capacity::sample::CounterReader;
use crate::harness::fleet::Fleet;
use crate::load::prepare;

/// Time after the start in which the floors of the seats come into force and loans settle.
const SETTLE_TIME: Duration = Duration::from_secs(4);
/// Interval between configuration changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// Length of the measurement windows and how often each is repeated.
#[derive(Debug, Clone, Copy)]
pub struct WindowSettings {
    pub length: Duration,
    pub repeats: u32,
}

/// Waits until every daemon serves every database, and then for `SETTLE_TIME`.
pub async fn wait_until_settled(fleet: &mut Fleet) -> Result<(), CapacityError> {
    let entries = fleet_size::entries(fleet)?;
    let deadline = Instant::now() + prepare::SERVING_TIMEOUT;
    for database in 0..fleet.plan().databases.len() {
        let caller = fleet_size::caller(fleet, database)?;
        prepare::wait_until_serving(&entries, &caller, deadline).await?;
    }
    sleep(SETTLE_TIME).await;
    Ok(())
}

/// Measures a fleet of one size in windows without and with configuration changes.
pub async fn measure(
    axis: &'static str,
    axis_value: usize,
    size: FleetSize,
    windows: WindowSettings,
) -> Result<Vec<Row>, CapacityError> {
    let mut fleet = size.start().await?;
    wait_until_settled(&mut fleet).await?;
    let reader = CounterReader::open(&mut fleet)?;
    let (mut quiet, mut changing) = (Vec::new(), Vec::new());
    for repeat in 0..windows.repeats {
        let before = reader.read().await?;
        sleep(windows.length).await;
        quiet.push(reader.read().await?.rates(&before));
        let before = reader.read().await?;
        let started = Instant::now();
        let mut number = repeat * 1000;
        while started.elapsed() < windows.length {
            let next_change = Instant::now() + CHANGE_INTERVAL;
            number += 1;
            fleet_size::change_contract_rate(&fleet, number).await?;
            sleep_until(next_change).await;
        }
        changing.push(reader.read().await?.rates(&before));
    }
    let row = |window, runs: &[_]| Row {
        axis,
        size: axis_value as f64,
        window,
        values: medians(runs),
    };
    Ok(vec![row("quiet", &quiet), row("changing", &changing)])
}

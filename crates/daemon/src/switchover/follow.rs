//! Holds statements for primaries that are about to be replaced.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::Term;

use crate::databases::directory::Directory;
use crate::peers::fleet::Fleet;

/// Interval at which the orders of peers that were not heard of for some time are dropped.
const INTERVAL: Duration = Duration::from_millis(100);

/// Starts the task, which follows the orders of this host and its peers.
pub fn spawn(fleet: Fleet, directory: Arc<Directory>) {
    tokio::spawn(async move {
        let mut reports = fleet.reports.clone();
        let mut own = fleet.orders.subscribe();
        loop {
            apply(&fleet, &directory);
            tokio::select! {
                Ok(()) = reports.changed() => {}
                Ok(()) = own.changed() => {}
                () = tokio::time::sleep(INTERVAL) => {}
            }
        }
    });
}

fn apply(fleet: &Fleet, directory: &Directory) {
    let wanted = wanted(fleet);
    let mut changed = false;
    for database in directory.all() {
        let known = database.group.primary().map_or(0, |(_, term)| term);
        let closed = wanted.get(&database.name).copied();
        let closed = closed.filter(|term| known <= *term);
        database.group.set_hurried(closed.is_some());
        changed |= database.gate.set(closed);
    }
    if changed {
        fleet.orders.nudge();
    }
}

/// Newest order for each database.
fn wanted(fleet: &Fleet) -> BTreeMap<DatabaseId, Term> {
    let mut wanted = fleet.orders.all();
    let reports = fleet.reports.borrow();
    for report in reports.values().filter(|report| Fleet::is_live(report)) {
        for (database, term) in &report.announcement.orders {
            let newest = wanted.entry(database.clone()).or_default();
            *newest = (*newest).max(*term);
        }
    }
    wanted
}

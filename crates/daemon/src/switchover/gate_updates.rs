//! Task that closes the gates of primaries that are about to be replaced, so that statements are
//! held.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::Term;

use crate::databases::registry::DatabaseRegistry;
use crate::peers::fleet::Fleet;

/// Longest time between two updates, in which orders of peers that no longer report are dropped.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Starts the task, which applies the switchover orders of this host and its peers.
pub fn spawn(fleet: Fleet, registry: Arc<DatabaseRegistry>) {
    tokio::spawn(async move {
        let mut reports = fleet.reports.clone();
        let mut own = fleet.orders.subscribe();
        loop {
            apply(&fleet, &registry);
            tokio::select! {
                Ok(()) = reports.changed() => {}
                Ok(()) = own.changed() => {}
                () = tokio::time::sleep(UPDATE_INTERVAL) => {}
            }
        }
    });
}

/// Opens or closes the gate of each database and announces any change.
fn apply(fleet: &Fleet, registry: &DatabaseRegistry) {
    let orders = newest_orders(fleet);
    let mut changed = false;
    for database in registry.all() {
        let known = database.group.primary().map_or(0, |(_, term)| term);
        let closed = orders.get(&database.name).copied();
        let closed = closed.filter(|term| known <= *term);
        database.group.set_fast_probing(closed.is_some());
        changed |= database.gate.set(closed);
    }
    if changed {
        fleet.orders.announce_now();
    }
}

/// Newest order for each database, by the term of the primary to be replaced.
fn newest_orders(fleet: &Fleet) -> BTreeMap<DatabaseId, Term> {
    let mut orders = fleet.orders.all();
    let reports = fleet.reports.borrow();
    for report in reports.values().filter(|report| Fleet::is_live(report)) {
        for (database, term) in &report.announcement.orders {
            let newest = orders.entry(database.clone()).or_default();
            *newest = (*newest).max(*term);
        }
    }
    orders
}

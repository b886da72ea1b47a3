//! Task that updates the announcement of this host to its peers.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use magnoliahatch_core::ids::DatabaseId;
use tokio::sync::watch;

use crate::config::handle::ConfigHandle;
use crate::databases::registry::DatabaseRegistry;
use crate::front::context::SessionContext;
use crate::mesh::announcement::Announcement;
use crate::mesh::announcement::ClosedPrimary;
use crate::peers::fleet::Fleet;

/// Interval at which the announcement is built; it adds to the detection time of a failed primary.
const INTERVAL: Duration = Duration::from_millis(50);
/// Interval while a switchover waits for work of this host.
const SWITCHOVER_INTERVAL: Duration = Duration::from_millis(5);
/// Time for which the store counts as reachable after its last answer. A watch request waits less.
const STORE_REACHED_TIMEOUT: Duration = Duration::from_secs(15);

/// Starts the task, which ends when all receivers are dropped.
pub fn spawn(
    sender: watch::Sender<Announcement>,
    config: Arc<ConfigHandle>,
    registry: Arc<DatabaseRegistry>,
    context: Arc<SessionContext>,
    fleet: Fleet,
) {
    tokio::spawn(async move {
        loop {
            let announcement = Announcement {
                revision: config.view().revision,
                store_reached: config
                    .freshness()
                    .borrow()
                    .reached
                    .is_some_and(|reached| reached.elapsed() < STORE_REACHED_TIMEOUT),
                observations: observations(&registry),
                draining: context.is_draining(),
                leaving: fleet.drains.remaining(&config.view()),
                region: fleet.region.clone(),
                orders: fleet.orders.all(),
                closed: closed(&registry),
            };
            sender.send_if_modified(|old| {
                let differs = *old != announcement;
                *old = announcement;
                differs
            });
            let pause = if sender.borrow().closed.is_empty() {
                INTERVAL
            } else {
                SWITCHOVER_INTERVAL
            };
            tokio::select! {
                () = sender.closed() => return,
                () = fleet.orders.announcement_due() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    });
}

/// Databases whose gates are closed, with the work that remains at the primary.
fn closed(registry: &DatabaseRegistry) -> BTreeMap<DatabaseId, ClosedPrimary> {
    let databases = registry.all().into_iter();
    let closed = databases.filter_map(|database| {
        let state = database.gate.state();
        let closed = ClosedPrimary {
            term: state.closed?,
            active: u32::try_from(state.active).unwrap_or(u32::MAX),
        };
        Some((database.name.clone(), closed))
    });
    closed.collect()
}

/// Opinions of this host on the primaries.
fn observations(
    registry: &DatabaseRegistry,
) -> BTreeMap<
    magnoliahatch_core::ids::DatabaseId,
    magnoliahatch_core::failure_detector::PrimaryObservation,
> {
    let databases = registry.all().into_iter();
    let observations = databases.filter_map(|database| {
        let observation = (*database.election.observation.borrow())?;
        Some((database.name.clone(), observation))
    });
    observations.collect()
}

//! Keeps this host's announcement to its peers current.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use magnoliahatch_core::ids::DatabaseId;
use tokio::sync::watch;

use crate::config::handle::ConfigHandle;
use crate::databases::directory::Directory;
use crate::front::context::Context;
use crate::mesh::announcement::Announcement;
use crate::mesh::announcement::Closed;
use crate::peers::fleet::Fleet;

/// Interval at which the announcement is composed; it adds to the detection of a failed primary.
const INTERVAL: Duration = Duration::from_millis(50);
/// Interval while a planned change of primary waits for work of this host.
const CLOSED_INTERVAL: Duration = Duration::from_millis(5);
/// The store counts as reached for this long after its last answer. A watch waits for less.
const REACHED: Duration = Duration::from_secs(15);

/// Starts the task; it ends when no receiver is left.
pub fn spawn(
    sender: watch::Sender<Announcement>,
    config: Arc<ConfigHandle>,
    directory: Arc<Directory>,
    context: Arc<Context>,
    fleet: Fleet,
) {
    tokio::spawn(async move {
        loop {
            let announcement = Announcement {
                revision: config.view().revision,
                store_reached: config
                    .stamps()
                    .borrow()
                    .reached
                    .is_some_and(|reached| reached.elapsed() < REACHED),
                opinions: opinions(&directory),
                draining: context.is_draining(),
                leaving: fleet.drains.remaining(&config.view()),
                region: fleet.region.clone(),
                orders: fleet.orders.all(),
                closed: closed(&directory),
            };
            sender.send_if_modified(|old| {
                let differs = *old != announcement;
                *old = announcement;
                differs
            });
            let pause = if sender.borrow().closed.is_empty() {
                INTERVAL
            } else {
                CLOSED_INTERVAL
            };
            tokio::select! {
                () = sender.closed() => return,
                () = fleet.orders.changed() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    });
}

fn closed(directory: &Directory) -> BTreeMap<DatabaseId, Closed> {
    let databases = directory.all().into_iter();
    let closed = databases.filter_map(|database| {
        let state = database.gate.state();
        let closed = Closed {
            term: state.closed?,
            active: u32::try_from(state.active).unwrap_or(u32::MAX),
        };
        Some((database.name.clone(), closed))
    });
    closed.collect()
}

fn opinions(
    directory: &Directory,
) -> BTreeMap<magnoliahatch_core::ids::DatabaseId, magnoliahatch_core::suspicion::Opinion> {
    let databases = directory.all().into_iter();
    let opinions = databases.filter_map(|database| {
        let opinion = (*database.election.opinion.borrow())?;
        Some((database.name.clone(), opinion))
    });
    opinions.collect()
}

//! Task that replaces primaries that operators have taken out of service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_core::ids::DatabaseId;

use crate::databases::database::Database;
use crate::databases::registry::DatabaseRegistry;
use crate::peers::fleet::Fleet;
use crate::switchover::candidate;
use crate::switchover::execute;

/// Interval at which the primaries are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between two attempts for the same database.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Starts the task. It executes switchovers of the databases that rendezvous hashing assigns to
/// this host. A second host that acts at the same time does no harm, since terms decide which
/// election wins.
pub fn spawn(fleet: Fleet, registry: Arc<DatabaseRegistry>) {
    tokio::spawn(async move {
        let mut last_attempts = BTreeMap::<DatabaseId, Instant>::new();
        loop {
            for database in registry.all() {
                let recent = last_attempts
                    .get(&database.name)
                    .is_some_and(|at| at.elapsed() < RETRY_DELAY);
                if !recent && is_due(&fleet, &database) {
                    last_attempts.insert(database.name.clone(), Instant::now());
                    tokio::spawn(replace(fleet.clone(), database));
                }
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    });
}

/// Whether the primary is out of service, a member in service can replace it, and this host is
/// responsible for that.
fn is_due(fleet: &Fleet, database: &Database) -> bool {
    let Some((primary, _)) = database.group.primary() else {
        return false;
    };
    if candidate::in_service(database, &primary, fleet)
        || database.switchover_lock.try_lock().is_err()
    {
        return false;
    }
    let (has_lease, _) = fleet.limits.seat();
    let next = candidate::choose(database, &primary, fleet);
    has_lease
        && fleet.is_switchover_owner(&database.name)
        && next.is_some_and(|next| candidate::in_service(database, &next, fleet))
}

async fn replace(fleet: Fleet, database: Arc<Database>) {
    if let Err(error) = execute::run(&fleet, &database, None).await {
        tracing::warn!(
            event = 243,
            database = database.name,
            %error,
            "could not replace a primary that is out of service"
        );
    }
}

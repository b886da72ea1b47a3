//! Task that claims and maintains this host's seat in the stored seat table by conditional updates.

use std::sync::Arc;
use std::time::Duration;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::seat_table::SeatTable as StoredTable;
use magnoliahatch_client::objects::stored_object::StoredObject;
use magnoliahatch_client::objects::write_request::WriteRequest;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_client::store_error::StoreError;
use magnoliahatch_core::coordinator::SeatRule;
use magnoliahatch_core::seat_update::SeatUpdate;
use rand::Rng;
use tokio::sync::watch;
use tokio::time::sleep;
use tracing::info;
use tracing::warn;

use crate::limits::shared::Shared;
use crate::limits::table;

/// Time between two checks of the seat, in milliseconds; randomised so that hosts do not write at
/// the same time.
const CHECK_INTERVAL_MS: std::ops::Range<u64> = 200..500;
/// Interval between reads of the store while this host has no majority of leases, and the delay
/// after a failed call.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Runs until the configuration channel closes.
pub(crate) async fn run(
    shared: Arc<Shared>,
    store: StoreClient,
    rule: SeatRule,
    config: watch::Receiver<Arc<ConfigView>>,
) {
    let mut last_read = None;
    while config.has_changed().is_ok() {
        let started = shared.now();
        let (update, has_lease) = {
            let mut state = shared.lock();
            let update = state.coordinator.propose_seat_update(started);
            let has_lease = state.coordinator.seat().has_majority_lease(started);
            (update, has_lease && rule == SeatRule::MajorityLease)
        };
        let outcome = match update {
            Some(update) => store_update(&shared, &store, &update).await,
            None if !has_lease && last_read.is_none_or(|at| started >= at + READ_INTERVAL) => {
                last_read = Some(started);
                refresh(&shared, &store).await
            }
            None => Ok(()),
        };
        if let Err(error) = outcome {
            warn!(event = 302, %error, "could not read or update the seat table in the store");
            sleep(READ_INTERVAL).await;
        }
        let pause = rand::rng().random_range(CHECK_INTERVAL_MS);
        sleep(Duration::from_millis(pause)).await;
    }
}

/// Writes the seat table of an update, or reads the current one if it has changed meanwhile.
async fn store_update(
    shared: &Shared,
    store: &StoreClient,
    update: &SeatUpdate,
) -> Result<(), StoreError> {
    let started = shared.now();
    let write_request = WriteRequest {
        change_id: format!("seat-{:016x}", rand::rng().random::<u64>()),
        value: serde_json::to_value(table::encode(&update.seats))?,
    };
    let result = store
        .put(
            kind::SEATS,
            kind::SEATS_NAME,
            update.expected_version,
            &write_request,
        )
        .await;
    match result {
        Ok(object) => {
            info!(event = 300, reason = ?update.reason, version = object.version, "seat table updated");
            apply(shared, &object, started)
        }
        Err(StoreError::Conflict { .. }) => refresh(shared, store).await,
        Err(error) => Err(error),
    }
}

/// Reads the seat table.
async fn refresh(shared: &Shared, store: &StoreClient) -> Result<(), StoreError> {
    let started = shared.now();
    match store.get(kind::SEATS, kind::SEATS_NAME).await {
        Ok(object) => apply(shared, &object, started),
        Err(StoreError::NotFound { .. }) => {
            shared.lock().coordinator.on_store_answer(started);
            Ok(())
        }
        Err(error) => Err(error),
    }
}

/// Applies a seat table that the store returned for a call made at `started`.
fn apply(shared: &Shared, object: &StoredObject, started: Duration) -> Result<(), StoreError> {
    let stored: StoredTable = serde_json::from_value(object.value.clone())?;
    let seats = table::decode(&stored, object.version);
    let mut state = shared.lock();
    state.coordinator.on_store_answer(started);
    state.coordinator.on_seat_table(&seats, shared.now());
    Ok(())
}

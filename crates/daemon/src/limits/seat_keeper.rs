//! Task that keeps this host's seat in the store by conditional updates.

use std::sync::Arc;
use std::time::Duration;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::draft::Draft;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::seat_table::SeatTable as StoredTable;
use magnoliahatch_client::objects::stored_object::StoredObject;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_client::store_error::StoreError;
use magnoliahatch_core::claim::Claim;
use rand::Rng;
use tokio::sync::watch;
use tokio::time::sleep;
use tracing::info;
use tracing::warn;

use crate::limits::shared::Shared;
use crate::limits::table;

/// Time between two looks at the seat; spread so that hosts do not write at the same moment.
const PAUSE_MS: std::ops::Range<u64> = 200..500;
/// Time between two reads of the store while no majority vouches for this host.
const READ: Duration = Duration::from_secs(1);

/// Runs until the configuration channel closes.
pub(crate) async fn run(
    shared: Arc<Shared>,
    store: StoreClient,
    config: watch::Receiver<Arc<ConfigView>>,
) {
    let mut read = None;
    while config.has_changed().is_ok() {
        let begun = shared.now();
        let (claim, vouched) = {
            let mut state = shared.lock();
            let claim = state.coordinator.claim(begun);
            (claim, state.coordinator.seat().is_vouched(begun))
        };
        let outcome = match claim {
            Some(claim) => update(&shared, &store, &claim).await,
            None if !vouched && read.is_none_or(|at| begun >= at + READ) => {
                read = Some(begun);
                refresh(&shared, &store).await
            }
            None => Ok(()),
        };
        if let Err(error) = outcome {
            warn!(event = 302, %error, "seat table not reached in the store");
            sleep(READ).await;
        }
        let pause = rand::rng().random_range(PAUSE_MS);
        sleep(Duration::from_millis(pause)).await;
    }
}

async fn update(shared: &Shared, store: &StoreClient, claim: &Claim) -> Result<(), StoreError> {
    let begun = shared.now();
    let draft = Draft {
        change_id: format!("seat-{:016x}", rand::rng().random::<u64>()),
        value: serde_json::to_value(table::encode(&claim.seats))?,
    };
    let answer = store
        .put(kind::SEATS, kind::SEATS_NAME, claim.expected, &draft)
        .await;
    match answer {
        Ok(object) => {
            info!(event = 300, reason = ?claim.reason, version = object.version, "seat table changed");
            take(shared, &object, begun)
        }
        Err(StoreError::Conflict { .. }) => refresh(shared, store).await,
        Err(error) => Err(error),
    }
}

async fn refresh(shared: &Shared, store: &StoreClient) -> Result<(), StoreError> {
    let begun = shared.now();
    match store.get(kind::SEATS, kind::SEATS_NAME).await {
        Ok(object) => take(shared, &object, begun),
        Err(StoreError::NotFound { .. }) => {
            shared.lock().coordinator.on_store(begun);
            Ok(())
        }
        Err(error) => Err(error),
    }
}

fn take(shared: &Shared, object: &StoredObject, begun: Duration) -> Result<(), StoreError> {
    let stored: StoredTable = serde_json::from_value(object.value.clone())?;
    let seats = table::decode(&stored, object.version);
    let mut state = shared.lock();
    state.coordinator.on_store(begun);
    state.coordinator.on_table(&seats, shared.now());
    Ok(())
}

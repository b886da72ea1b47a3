//! Task that follows configuration changes in the store.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::future;
use magnoliahatch_client::config_patch::ConfigPatch;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_client::store_error::StoreError;
use magnoliahatch_core::ids::Revision;
use thiserror::Error;
use tracing::debug;
use tracing::info;
use tracing::warn;

use crate::config::backoff::Backoff;
use crate::config::handle::Shared;

/// Long-poll duration of one watch. With the client's additional 2 s timeout it bounds how long a
/// silent connection goes unnoticed, which must stay below the 7 s within which a change must be in
/// force on all hosts.
const WATCH_WAIT: Duration = Duration::from_secs(3);

#[derive(Debug, Error)]
enum WatcherError {
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error("the store is at revision {found}, but revision {known} was seen before")]
    Behind { found: Revision, known: Revision },
}

/// Lists all kinds until the view is loaded, then watches for changes. Retries every failure.
pub(super) async fn run(store: StoreClient, shared: Arc<Shared>) {
    let mut backoff = Backoff::default();
    let mut failing_since = Instant::now();
    let mut relist = false;
    loop {
        let sent = Instant::now();
        let loaded = shared.view.borrow().loaded;
        let result = if loaded && !relist {
            watch(&store, &shared).await
        } else {
            list(&store, &shared).await
        };
        match result {
            Ok(()) => {
                shared
                    .freshness
                    .send_modify(|freshness| freshness.record_store_call(sent));
                if backoff.failures() > 0 {
                    let seconds = failing_since.elapsed().as_secs_f64();
                    info!(event = 102, seconds, "store reached again");
                }
                backoff.reset();
                relist = false;
            }
            Err(error) => {
                if backoff.failures() == 0 {
                    failing_since = sent;
                    warn!(event = 101, %error, "store not followed; retrying");
                } else {
                    debug!(event = 101, %error, "store not followed; retrying");
                }
                // The store rejects a watch if it no longer has the changes after this revision.
                relist = matches!(error, WatcherError::Store(StoreError::Status(_)));
                tokio::time::sleep(backoff.delay()).await;
            }
        }
    }
}

async fn list(store: &StoreClient, shared: &Shared) -> Result<(), WatcherError> {
    let calls = kind::ALL.map(|kind| async move { Ok((kind, store.list(kind).await?)) });
    let lists: Vec<_> = future::try_join_all(calls)
        .await
        .map_err(WatcherError::Store)?;
    let found = lists.iter().map(|(_, list)| list.revision).min();
    let known = shared.view.borrow().revision;
    check_not_behind(found.unwrap_or(0), known)?;
    let revision = shared.update(|view| {
        let changed = view.merge_lists(&lists);
        (view.revision, changed)
    });
    info!(event = 100, revision, "configuration loaded from the store");
    Ok(())
}

async fn watch(store: &StoreClient, shared: &Shared) -> Result<(), WatcherError> {
    let after = shared.view.borrow().revision;
    let list = store.watch(after, WATCH_WAIT).await?;
    check_not_behind(list.revision, after)?;
    let patch = ConfigPatch {
        after,
        revision: list.revision,
        kinds: kind::ALL.map(str::to_owned).to_vec(),
        changes: list.changes,
    };
    shared.merge(&patch);
    Ok(())
}

/// Rejects an older revision than the known one: a store that lost changes, for example after a
/// restore from a backup, must not revert the view.
fn check_not_behind(found: Revision, known: Revision) -> Result<(), WatcherError> {
    if found < known {
        return Err(WatcherError::Behind { found, known });
    }
    Ok(())
}

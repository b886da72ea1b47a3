//! Handle to the configuration in force on this host.

use std::sync::Arc;
use std::time::Instant;

use magnoliahatch_client::config_patch::ConfigPatch;
use magnoliahatch_client::config_patch::MergeResult;
use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_core::ids::Revision;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tracing::info;
use tracing::warn;

use crate::config::freshness::ConfigFreshness;
use crate::config::watcher;

/// Access to the configuration in force. Dropping the handle ends the task that watches the store.
#[derive(Debug)]
pub struct ConfigHandle {
    shared: Arc<Shared>,
    _closing: oneshot::Sender<()>,
}

impl ConfigHandle {
    /// Starts watching the store. The view is empty until the store or a peer delivers a
    /// configuration.
    pub fn spawn(store: StoreClient) -> Self {
        let shared = Arc::new(Shared::default());
        let (closing, closed) = oneshot::channel();
        let task = watcher::run(store, Arc::clone(&shared));
        tokio::spawn(async move {
            tokio::select! {
                () = task => {}
                _ = closed => {}
            }
        });
        Self {
            shared,
            _closing: closing,
        }
    }

    /// The view in force.
    pub fn view(&self) -> Arc<ConfigView> {
        Arc::clone(&self.shared.view.borrow())
    }

    /// Subscribes to later views; a slow receiver sees only the newest.
    pub fn subscribe(&self) -> watch::Receiver<Arc<ConfigView>> {
        self.shared.view.subscribe()
    }

    /// Subscribes to how recent the view is.
    pub fn freshness(&self) -> watch::Receiver<ConfigFreshness> {
        self.shared.freshness.subscribe()
    }

    /// Waits until the store or a peer has delivered a complete configuration.
    pub async fn wait_loaded(&self) -> Arc<ConfigView> {
        let mut views = self.subscribe();
        match views.wait_for(|view| view.loaded).await {
            Ok(view) => Arc::clone(&view),
            // `shared` owns the sender, so the channel stays open as long as this handle exists.
            Err(_) => self.view(),
        }
    }

    /// Changes that a peer at revision `after` lacks; `None` before the view is loaded.
    pub fn patch(&self, after: Revision) -> Option<ConfigPatch> {
        self.view().patch(after)
    }

    /// Merges changes from a peer. If the patch leaves a gap, the caller requests a patch from the
    /// view's revision on.
    pub fn merge(&self, patch: &ConfigPatch) -> MergeResult {
        let was_loaded = self.view().loaded;
        let merged = self.shared.merge(patch);
        if !was_loaded && self.view().loaded {
            info!(
                event = 104,
                revision = patch.revision,
                "configuration loaded from a peer"
            );
        }
        merged
    }

    /// Records that, according to a peer, `revision` was the store's newest at `at`, on this host's
    /// clock. The caller computes `at` as the time it sent its request minus the age that the peer
    /// reports.
    pub fn confirm(&self, revision: Revision, at: Instant) {
        if self.view().revision >= revision {
            self.shared
                .freshness
                .send_modify(|freshness| freshness.record_current(at));
        }
    }
}

/// State shared by the handle and the watcher task.
#[derive(Debug, Default)]
pub(super) struct Shared {
    pub(super) view: watch::Sender<Arc<ConfigView>>,
    pub(super) freshness: watch::Sender<ConfigFreshness>,
}

impl Shared {
    /// Merges a patch into the view.
    pub(super) fn merge(&self, patch: &ConfigPatch) -> MergeResult {
        // Most watches end without a change, so the view is copied only for a patch with changes.
        if !self.view.borrow().would_change(patch) {
            return MergeResult::default();
        }
        self.update(|view| {
            let merged = view.merge(patch);
            (merged, merged.changed)
        })
    }

    /// Updates the view under the channel's lock, so that the watcher and patches from peers cannot
    /// overwrite each other's changes. `change` also returns whether to publish the new view.
    pub(super) fn update<T>(&self, change: impl FnOnce(&mut ConfigView) -> (T, bool)) -> T {
        let mut result = None;
        self.view.send_if_modified(|view| {
            let mut next = ConfigView::clone(view);
            let (value, changed) = change(&mut next);
            result = Some(value);
            if changed {
                warn_unreadable(view, &next);
                *view = Arc::new(next);
            }
            changed
        });
        result.expect("send_if_modified always calls its closure")
    }
}

fn warn_unreadable(before: &ConfigView, after: &ConfigView) {
    for ((kind, name), version) in &after.unreadable {
        let key = (kind.clone(), name.clone());
        if before.unreadable.get(&key) != Some(version) {
            warn!(
                event = 103,
                kind, name, version, "object cannot be read; its previous value stays in force"
            );
        }
    }
}

//! State of the administration API and the operations that its endpoints share.

use std::sync::Arc;
use std::time::Duration;

use futures::future;
use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::admin::source::Source;
use magnoliahatch_client::admin::versioned::Versioned;
use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::stored_object::StoredObject;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_client::store_error::StoreError;
use magnoliahatch_core::ids::Revision;
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tracing::error;
use tracing::info;
use tracing::warn;

use crate::admin::edit::Edit;
use crate::admin::error::AdminError;
use crate::admin::error::RuleError;
use crate::admin::hooks::Hooks;

/// Maximum length of names, which become parts of paths and of PostgreSQL identifiers. The latter
/// are limited to 63 bytes.
const MAX_NAME_BYTES: usize = 63;

/// Maximum number of attempts of a change that is retried after version conflicts. There are few
/// operators, so more consecutive conflicts indicate a program that keeps changing the object.
pub(super) const MAX_ATTEMPTS: u32 = 5;

/// Shared state of all endpoints.
#[derive(Debug)]
pub struct Admin {
    pub(super) store: StoreClient,
    pub(super) hooks: Hooks,
    views: watch::Receiver<Arc<ConfigView>>,
}

impl Admin {
    pub(super) fn new(
        store: StoreClient,
        views: watch::Receiver<Arc<ConfigView>>,
        hooks: Hooks,
    ) -> Self {
        Self {
            store,
            hooks,
            views,
        }
    }

    /// The configuration view in force on this daemon.
    pub(super) fn view(&self) -> Arc<ConfigView> {
        Arc::clone(&self.views.borrow())
    }

    /// Reads an object from the store, or from the view if the store is unavailable.
    pub(super) async fn read<T: DeserializeOwned>(
        &self,
        kind: &str,
        name: &str,
    ) -> Result<Versioned<T>, AdminError> {
        match self.store.get(kind, name).await {
            Ok(object) => versioned(object, Source::Store),
            Err(StoreError::Unavailable(cause)) => match self.view().object(kind, name) {
                Some(object) => versioned(object.clone(), Source::View),
                None => Err(StoreError::Unavailable(cause).into()),
            },
            Err(StoreError::NotFound { kind, name }) => Err(AdminError::NotFound { kind, name }),
            Err(error) => Err(error.into()),
        }
    }

    /// Reads all objects of a kind from the store, or from the view if the store is unavailable.
    pub(super) async fn list<T: DeserializeOwned>(
        &self,
        kind: &str,
    ) -> Result<Vec<Versioned<T>>, AdminError> {
        let (objects, source) = match self.store.list(kind).await {
            Ok(list) => (list.objects, Source::Store),
            Err(StoreError::Unavailable(cause)) => {
                let view = self.view();
                if !view.loaded {
                    return Err(StoreError::Unavailable(cause).into());
                }
                (view.objects(kind).cloned().collect(), Source::View)
            }
            Err(error) => return Err(error.into()),
        };
        objects
            .into_iter()
            .map(|object| versioned(object, source))
            .collect()
    }

    /// Makes a change, unless it breaks a rule by itself or in combination with concurrent changes.
    pub(super) async fn change(&self, edit: Edit) -> Result<Accepted, AdminError> {
        let result = self.change_checked(&edit).await;
        match &result {
            Ok(accepted) => info!(
                event = 110,
                kind = edit.kind,
                name = edit.name,
                version = accepted.version,
                deleted = edit.value.is_none(),
                "change accepted"
            ),
            Err(error) => warn!(
                event = 111,
                kind = edit.kind,
                name = edit.name,
                %error,
                "change not accepted"
            ),
        }
        result
    }

    async fn change_checked(&self, edit: &Edit) -> Result<Accepted, AdminError> {
        check_name(&edit.name)?;
        let before = self.read_latest().await?;
        if let Some(rule) = edit.violation(&before) {
            return Err(rule.into());
        }
        let previous = before.object(edit.kind, &edit.name);
        // The rules were checked against this version, so only this version may be replaced.
        let current = previous.map_or(0, |object| object.version);
        if current != edit.expected {
            return Err(version_mismatch(edit, current));
        }
        let put = match &edit.value {
            Some(value) => {
                let write_request = Edit::write_request(value);
                let put = self
                    .store
                    .put(edit.kind, &edit.name, edit.expected, &write_request);
                Some(put.await.map_err(AdminError::from_write_error)?.version)
            }
            None => {
                let deletion = self.store.delete(edit.kind, &edit.name, edit.expected);
                deletion.await.map_err(AdminError::from_write_error)?;
                None
            }
        };
        let since = match self.store.watch(before.revision, Duration::ZERO).await {
            Ok(list) => list.changes,
            Err(cause) => {
                warn!(
                    event = 113,
                    kind = edit.kind,
                    name = edit.name,
                    error = %cause,
                    "change accepted but not checked against concurrent changes"
                );
                let version = put.ok_or(AdminError::DeletionVersion(cause))?;
                return Ok(Accepted { version });
            }
        };
        let version = match put.or_else(|| edit.deletion_revision(&since)) {
            Some(version) => version,
            // The store accepted the deletion, so its list of changes must contain it.
            None => return Err(AdminError::DeletionMissing),
        };
        if let Some(rule) = edit.concurrent_violation(&before, &since, version) {
            let current = put.unwrap_or(0);
            return Err(self.undo(edit, previous, current, rule).await);
        }
        Ok(Accepted { version })
    }

    /// Restores the previous object if its current version is still `current`.
    async fn undo(
        &self,
        edit: &Edit,
        previous: Option<&StoredObject>,
        current: Revision,
        rule: RuleError,
    ) -> AdminError {
        let undone = match previous {
            Some(object) => {
                let write_request = Edit::write_request(&object.value);
                let put = self
                    .store
                    .put(edit.kind, &edit.name, current, &write_request);
                put.await.map(drop)
            }
            None => self.store.delete(edit.kind, &edit.name, current).await,
        };
        let (kind, name) = (edit.kind, edit.name.as_str());
        match undone {
            Ok(()) => {
                warn!(event = 112, kind, name, %rule, "change undone");
                AdminError::Undone { rule }
            }
            // The object has been changed again, so this change is no longer in force.
            Err(StoreError::Conflict { .. } | StoreError::NotFound { .. }) => {
                AdminError::Undone { rule }
            }
            Err(undo) => {
                error!(event = 114, kind, name, %rule, error = %undo, "change not undone");
                AdminError::NotUndone {
                    rule,
                    undo: Box::new(undo),
                }
            }
        }
    }

    /// Reads the latest configuration from the store.
    pub(super) async fn read_latest(&self) -> Result<ConfigView, StoreError> {
        let kinds = [
            kind::CONTRACT,
            kind::ROUTE,
            kind::DATABASE,
            kind::PLACEMENT,
            kind::HOST,
            kind::SECRET,
        ];
        let calls = kinds.map(|kind| async move {
            let list = self.store.list(kind).await?;
            Ok::<_, StoreError>((kind, list))
        });
        let mut view = ConfigView::default();
        view.merge_lists(&future::try_join_all(calls).await?);
        Ok(view)
    }
}

pub(super) fn check_name(name: &str) -> Result<(), AdminError> {
    // A placement's name is `subject/name`; the subject is one of a fixed set, so only the part
    // after the slash needs a check.
    let base_name = name
        .split_once('/')
        .map_or(name, |(_, base_name)| base_name);
    let mut bytes = base_name.bytes();
    let first = bytes.next().is_some_and(|b| b.is_ascii_alphanumeric());
    let rest = bytes.all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b));
    if first && rest && base_name.len() <= MAX_NAME_BYTES {
        return Ok(());
    }
    Err(AdminError::Name {
        name: base_name.to_owned(),
        max: MAX_NAME_BYTES,
    })
}

fn version_mismatch(edit: &Edit, current: Revision) -> AdminError {
    let (kind, name) = (edit.kind, edit.name.clone());
    match (edit.expected, current) {
        (0, _) => AdminError::Exists {
            kind,
            name,
            current,
        },
        (_, 0) => AdminError::NotFound {
            kind: kind.to_owned(),
            name,
        },
        (expected, _) => AdminError::Store(StoreError::Conflict {
            kind: kind.to_owned(),
            name,
            expected,
            current,
        }),
    }
}

fn versioned<T: DeserializeOwned>(
    object: StoredObject,
    source: Source,
) -> Result<Versioned<T>, AdminError> {
    Ok(Versioned {
        name: object.name,
        version: object.version,
        source,
        value: serde_json::from_value(object.value).map_err(StoreError::Format)?,
    })
}

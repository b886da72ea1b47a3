//! State and operations behind the calls.

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

/// Names become parts of paths and of PostgreSQL identifiers, which hold 63 bytes.
const MAX_NAME: usize = 63;

/// Attempts of a change that is repeated on a newer version. Operators are few, so more conflicts
/// in a row point to a program that changes the object without pause.
pub(super) const RETRIES: u32 = 5;

/// State behind the calls.
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

    /// The view in force on this daemon.
    pub(super) fn view(&self) -> Arc<ConfigView> {
        Arc::clone(&self.views.borrow())
    }

    /// Reads an object from the store, or from the view in an outage.
    pub(super) async fn show<T: DeserializeOwned>(
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

    /// Reads all objects of a kind from the store, or from the view in an outage.
    pub(super) async fn list<T: DeserializeOwned>(
        &self,
        kind: &str,
    ) -> Result<Vec<Versioned<T>>, AdminError> {
        let (objects, source) = match self.store.list(kind).await {
            Ok(list) => (list.objects, Source::Store),
            Err(StoreError::Unavailable(cause)) => {
                let view = self.view();
                if !view.filled {
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

    /// Performs a change that must not break a rule, alone or together with concurrent changes.
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
        let before = self.newest().await?;
        if let Some(rule) = edit.breaks(&before) {
            return Err(rule.into());
        }
        let previous = before.object(edit.kind, &edit.name);
        // The rules were checked against the listed version, so only that one may be replaced.
        let current = previous.map_or(0, |object| object.version);
        if current != edit.expected {
            return Err(mismatch(edit, current));
        }
        let put = match &edit.value {
            Some(value) => {
                let draft = Edit::draft(value);
                let put = self.store.put(edit.kind, &edit.name, edit.expected, &draft);
                Some(put.await.map_err(AdminError::of_write)?.version)
            }
            None => {
                let deletion = self.store.delete(edit.kind, &edit.name, edit.expected);
                deletion.await.map_err(AdminError::of_write)?;
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
        let version = match put.or_else(|| edit.deletion(&since)) {
            Some(version) => version,
            // A store that lists the object as deleted also reports the deletion.
            None => return Err(AdminError::DeletionMissing),
        };
        if let Some(rule) = edit.broke(&before, &since, version) {
            let current = put.unwrap_or(0);
            return Err(self.undo(edit, previous, current, rule).await);
        }
        Ok(Accepted { version })
    }

    /// Restores the previous object if the change is still at version `current`.
    async fn undo(
        &self,
        edit: &Edit,
        previous: Option<&StoredObject>,
        current: Revision,
        rule: RuleError,
    ) -> AdminError {
        let undone = match previous {
            Some(object) => {
                let draft = Edit::draft(&object.value);
                let put = self.store.put(edit.kind, &edit.name, current, &draft);
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
            // Someone has already changed the object further, so this change is not in force.
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

    /// The newest configuration, read from the store.
    pub(super) async fn newest(&self) -> Result<ConfigView, StoreError> {
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
    // The subject of a placement is a fixed word, so only the name behind it is free text.
    let own = name.split_once('/').map_or(name, |(_, own)| own);
    let mut bytes = own.bytes();
    let first = bytes.next().is_some_and(|b| b.is_ascii_alphanumeric());
    let rest = bytes.all(|b| b.is_ascii_alphanumeric() || b"._-".contains(&b));
    if first && rest && own.len() <= MAX_NAME {
        return Ok(());
    }
    Err(AdminError::Name {
        name: own.to_owned(),
        max: MAX_NAME,
    })
}

fn mismatch(edit: &Edit, current: Revision) -> AdminError {
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

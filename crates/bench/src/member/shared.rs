//! State shared by the connections and tasks of one member.

use std::collections::HashMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicI32;
use std::sync::atomic::AtomicU64;

use magnoliahatch_core::ids::Term;
use rusqlite::InterruptHandle;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;

use crate::member::Recording;
use crate::member::gate::Gate;
use crate::member::group::Group;
use crate::member::settings::MemberSettings;

/// What a cancel request acts on.
pub(crate) struct CancelTarget {
    pub(crate) secret: i32,
    pub(crate) notify: Notify,
    pub(crate) interrupt: Mutex<Option<InterruptHandle>>,
}

/// State shared by the connections and tasks of one member.
pub(crate) struct Shared {
    pub(crate) settings: MemberSettings,
    pub(crate) dir: PathBuf,
    pub(crate) group: Mutex<Group>,
    /// Counts changes of the group's state; wakes everything that waits for one.
    pub(crate) changed: watch::Sender<u64>,
    /// Term of which this member is the primary, if any.
    pub(crate) leading: watch::Sender<Option<Term>>,
    /// Held by the transaction that writes, and by the task that applies entries.
    pub(crate) write_lock: Arc<tokio::sync::Mutex<()>>,
    pub(crate) slots: Semaphore,
    pub(crate) gate: Gate,
    pub(crate) lag_ms: AtomicU64,
    pub(crate) service_us: AtomicU64,
    /// Counts how often the applied state was built again; names its file.
    pub(crate) generation: AtomicU64,
    pub(crate) recording: Mutex<Recording>,
    pub(crate) cancel: Mutex<HashMap<i32, Arc<CancelTarget>>>,
    pub(crate) next_connection: AtomicI32,
}

impl Shared {
    pub(crate) fn new(settings: MemberSettings, dir: PathBuf, group: Group) -> Self {
        let leading = group
            .leads(group.durable.term)
            .then_some(group.durable.term);
        Self {
            dir,
            group: Mutex::new(group),
            changed: watch::Sender::new(0),
            leading: watch::Sender::new(leading),
            write_lock: Arc::default(),
            slots: Semaphore::new(settings.slots),
            gate: Gate::new(),
            lag_ms: AtomicU64::new(settings.lag_ms),
            service_us: AtomicU64::new(settings.service_us),
            generation: AtomicU64::new(0),
            recording: Mutex::new(Recording {
                enabled: settings.record,
                ..Recording::default()
            }),
            cancel: Mutex::default(),
            next_connection: AtomicI32::new(1),
            settings,
        }
    }

    pub(crate) fn group(&self) -> MutexGuard<'_, Group> {
        lock(&self.group)
    }

    pub(crate) fn recording(&self) -> MutexGuard<'_, Recording> {
        lock(&self.recording)
    }

    /// Runs a change of the group's state and wakes everything that waits for one.
    pub(crate) fn change<T>(&self, change: impl FnOnce(&mut Group) -> T) -> T {
        let mut group = self.group();
        let result = change(&mut group);
        let leading = group
            .leads(group.durable.term)
            .then_some(group.durable.term);
        self.leading.send_if_modified(|old| {
            let differs = *old != leading;
            *old = leading;
            differs
        });
        drop(group);
        self.changed.send_modify(|count| *count += 1);
        result
    }

    /// Returns the first value that the function finds in the group's state.
    pub(crate) async fn wait_for<T>(&self, mut find: impl FnMut(&mut Group) -> Option<T>) -> T {
        let mut changes = self.changed.subscribe();
        loop {
            changes.borrow_and_update();
            if let Some(found) = find(&mut self.group()) {
                return found;
            }
            // The sender is part of self, so the wait cannot fail.
            let _ = changes.changed().await;
        }
    }
}

/// Locks a mutex; a panic elsewhere must not hide the state from the tests that read it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

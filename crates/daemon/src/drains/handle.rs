//! Tracks the drains on this host.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::member::Member;
use magnoliahatch_client::objects::placement::Placement;
use magnoliahatch_core::drain::Drain;
use magnoliahatch_core::drain::DrainAction;
use magnoliahatch_core::drain::DrainSubject;
use tokio::sync::watch;

use crate::drains::WorkGuard;

/// Time after which remaining work of a drain is logged. Transactions at an old primary have ended
/// by then, and the shutdown of a host has the same limit by default.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Longest sleep while nothing is draining; a configuration change ends it.
const IDLE_WAIT: Duration = Duration::from_secs(3600);

/// Counts the work of this host by endpoint, host and data centre, and logs when the work of one
/// that is out of service has ended.
#[derive(Debug, Clone)]
pub struct DrainTracker {
    drain: Arc<Mutex<Drain>>,
    start: Instant,
}

impl DrainTracker {
    pub fn new(start: Instant) -> Self {
        Self {
            drain: Arc::default(),
            start,
        }
    }

    /// Counts a connection to a member, or its role of primary.
    pub fn track_member(&self, member: &Member) -> WorkGuard {
        self.begin(vec![
            DrainSubject::Endpoint(member.name.clone()),
            DrainSubject::DataCentre(member.data_centre.clone()),
        ])
    }

    /// Counts a client session.
    pub fn track_session(&self, host: &str, data_centre: &str) -> WorkGuard {
        self.begin(vec![
            DrainSubject::Host(host.to_owned()),
            DrainSubject::DataCentre(data_centre.to_owned()),
        ])
    }

    /// Remaining work of each subject that is out of service, by the name of its placement.
    pub fn remaining(&self, view: &ConfigView) -> BTreeMap<String, u32> {
        let drain = self.lock();
        let leaving = leaving(view).into_iter();
        let counted = leaving.map(|subject| {
            let left = drain.remaining(&subject);
            (name(&subject), u32::try_from(left).unwrap_or(u32::MAX))
        });
        counted.collect()
    }

    fn begin(&self, subjects: Vec<DrainSubject>) -> WorkGuard {
        let mut drain = self.lock();
        if !drain.on_start(&subjects) {
            drain.on_mandatory_start(&subjects);
        }
        drop(drain);
        WorkGuard::new(self.clone(), subjects)
    }

    pub(super) fn end(&self, subjects: &[DrainSubject]) {
        let actions = self.lock().on_end(subjects);
        log(actions);
    }

    fn lock(&self) -> MutexGuard<'_, Drain> {
        self.drain.lock().expect("no holder of this lock panics")
    }

    /// Starts and cancels drains by the placements of a configuration, and logs expired ones.
    fn update(&self, draining: &mut BTreeSet<DrainSubject>, view: &ConfigView) {
        let now = self.start.elapsed();
        let wanted = leaving(view);
        let mut drain = self.lock();
        draining
            .difference(&wanted)
            .for_each(|back| drain.on_restore(back));
        let begun = wanted.difference(draining);
        let mut actions: Vec<_> = begun
            .flat_map(|subject| drain.on_drain(subject.clone(), DRAIN_TIMEOUT, now))
            .collect();
        actions.extend(drain.on_tick(now));
        drop(drain);
        log(actions);
        *draining = wanted;
    }
}

/// Starts the task that applies changes of placements.
pub fn spawn(drains: DrainTracker, mut config: watch::Receiver<Arc<ConfigView>>) {
    tokio::spawn(async move {
        let mut draining = BTreeSet::new();
        loop {
            let view = Arc::clone(&config.borrow_and_update());
            drains.update(&mut draining, &view);
            let due = drains.lock().next_tick();
            let due = due.unwrap_or(drains.start.elapsed() + IDLE_WAIT);
            tokio::select! {
                changed = config.changed() => if changed.is_err() {
                    return;
                },
                () = tokio::time::sleep_until((drains.start + due).into()) => {}
            }
        }
    });
}

/// Subjects that the configuration places out of service.
fn leaving(view: &ConfigView) -> BTreeSet<DrainSubject> {
    let out = view
        .placements
        .iter()
        .filter(|(_, state)| **state == Placement::Out);
    out.filter_map(|(name, _)| subject(name)).collect()
}

/// Parses the name of a placement, such as `host/a`.
fn subject(name: &str) -> Option<DrainSubject> {
    let (kind, name) = name.split_once('/')?;
    match kind {
        "host" => Some(DrainSubject::Host(name.to_owned())),
        "endpoint" => Some(DrainSubject::Endpoint(name.to_owned())),
        "data-centre" => Some(DrainSubject::DataCentre(name.to_owned())),
        _ => None,
    }
}

/// Formats the name of a placement.
fn name(subject: &DrainSubject) -> String {
    match subject {
        DrainSubject::Host(name) => format!("host/{name}"),
        DrainSubject::Endpoint(name) => format!("endpoint/{name}"),
        DrainSubject::DataCentre(name) => format!("data-centre/{name}"),
    }
}

fn log(actions: Vec<DrainAction>) {
    for action in actions {
        match action {
            DrainAction::Drained { subject } => tracing::info!(
                event = 244,
                subject = name(&subject),
                "drain complete, no work remains on this host"
            ),
            DrainAction::Expired { subject, remaining } => tracing::warn!(
                event = 245,
                subject = name(&subject),
                remaining,
                "drain timed out with work remaining on this host"
            ),
        }
    }
}

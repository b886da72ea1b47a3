//! Reports this host's view to other hosts.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Revision;

use crate::clock;
use crate::mesh::frame::KindReport;
use crate::mesh::frame::Response;
use crate::mesh::frame::SourceRole;
use crate::model::kind::ObjectKind;
use crate::model::object::Content;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::view_tiers;

/// A host that was asked as the store watcher within this time watches the store.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of routes and keys in a configuration that hosts send each other, about 60 KB.
/// Larger ones are read from the store.
const MAX_SENT_ENTRIES: usize = 600;

/// Which hosts requested this host's view, and when.
#[derive(Debug, Default)]
pub struct ViewReports {
    last_requests: RefCell<BTreeMap<HostId, Duration>>,
    /// When a host last asked this one as the store watcher.
    last_follower: Cell<Option<Duration>>,
}

impl ViewReports {
    /// Returns when a host last requested this host's view.
    pub fn last_request(&self, host: &str) -> Option<Duration> {
        self.last_requests.borrow().get(host).copied()
    }

    /// Returns whether others rely on this host to watch the store.
    pub fn has_followers(&self) -> bool {
        let recent = |at| clock::now().saturating_sub(at) < FOLLOWER_TIMEOUT;
        self.last_follower.get().is_some_and(recent)
    }

    /// Records a request of another host.
    pub fn on_request(&self, from: &str, role: SourceRole) {
        let now = clock::now();
        self.last_requests.borrow_mut().insert(from.to_owned(), now);
        if role == SourceRole::StoreWatcher {
            self.last_follower.set(Some(now));
        }
    }

    /// Reports the view to another host; waits up to `max_wait` until there is something the host
    /// lacks.
    pub async fn report<P: Platform>(
        &self,
        node: &Node<P>,
        known: &[(ObjectKind, Revision)],
        max_wait: Duration,
    ) -> Response {
        let start = clock::now();
        let mut changed = node.changed.subscribe();
        let change = async {
            loop {
                let delay = change_delay(node, known);
                if let Some(delay) = delay {
                    tokio::time::sleep(delay).await;
                    return;
                }
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        // Without changes the answer still reports the age.
        let _ = tokio::time::timeout(max_wait, change).await;
        let now = clock::now();
        let view = node.view.borrow();
        let report = |(kind, content): &(ObjectKind, Revision)| {
            let mut report = view.kind(*kind)?.report(*kind, *content, now)?;
            if *kind == ObjectKind::Configuration && is_large(&report) {
                report.objects.clear();
                report.complete = false;
            }
            Some(report)
        };
        Response::View {
            waited: now.saturating_sub(start),
            reports: known.iter().filter_map(report).collect(),
        }
    }
}

/// Returns how long to gather further changes before a host with these revisions is told of the
/// present ones, or `None` if there is nothing to tell. A host that starts is told only once this
/// host's own view is complete.
fn change_delay<P: Platform>(node: &Node<P>, known: &[(ObjectKind, Revision)]) -> Option<Duration> {
    let view = node.view.borrow();
    if known.iter().all(|(_, content)| *content == 0) {
        return view.is_complete(clock::now()).then_some(Duration::ZERO);
    }
    let newer = known.iter().filter(|(kind, content)| {
        let kind = view.kind(*kind);
        kind.is_some_and(|k| k.content_revision > *content)
    });
    let delay = |kind| match kind {
        ObjectKind::Hosts => view_tiers::gather_time(node.hosts().count),
        _ => Duration::ZERO,
    };
    newer.map(|(kind, _)| delay(*kind)).min()
}

/// Returns whether a configuration is so large that hosts should read it from the store, since one
/// host would have to send it to all others.
fn is_large(report: &KindReport) -> bool {
    report.objects.iter().any(|o| match &o.content {
        Some(Content::Configuration(c)) => c.routes.len() + c.keys.len() > MAX_SENT_ENTRIES,
        _ => false,
    })
}

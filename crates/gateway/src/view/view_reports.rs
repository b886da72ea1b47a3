//! Reports this host's view to other hosts.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Revision;

use crate::clock;
use crate::mesh::frame::KindReport;
use crate::mesh::frame::Return;
use crate::model::kind::Kind;
use crate::model::object::Content;
use crate::node::Node;
use crate::platform::Platform;

/// A host that has been asked for news within this time goes on reading the store.
const READER_MEMORY: Duration = Duration::from_millis(1500);
/// Routes and keys of a configuration that hosts still pass on to each other, about 20 KB.
const LARGE_ENTRIES: usize = 200;

/// Who asked for this host's view, and when.
#[derive(Debug, Default)]
pub struct ViewReports {
    asked: RefCell<BTreeMap<HostId, Duration>>,
    /// When a host last asked for news.
    relied: Cell<Option<Duration>>,
}

impl ViewReports {
    /// When a host last asked for this host's view.
    pub fn last_asked(&self, host: &str) -> Option<Duration> {
        self.asked.borrow().get(host).copied()
    }

    /// Whether a host asked for news a moment ago.
    pub fn is_relied_on(&self) -> bool {
        let recent = |at| clock::now().saturating_sub(at) < READER_MEMORY;
        self.relied.get().is_some_and(recent)
    }

    /// Reports the view to another host; waits up to `hold` for something it lacks.
    pub async fn report<P: Platform>(
        &self,
        node: &Node<P>,
        from: &str,
        known: &[(Kind, Revision)],
        hold: Duration,
    ) -> Return {
        let start = clock::now();
        self.asked.borrow_mut().insert(from.to_owned(), start);
        if !hold.is_zero() {
            self.relied.set(Some(start));
        }
        let lacks = || {
            let view = node.view.borrow();
            let newer = |(kind, content): &(Kind, Revision)| {
                view.kind(*kind).is_some_and(|k| k.content > *content)
            };
            known.iter().any(newer)
        };
        let mut changed = node.changed.subscribe();
        let news = async {
            while !lacks() {
                if changed.changed().await.is_err() {
                    return;
                }
            }
        };
        // Without news the answer still tells the age.
        let _ = tokio::time::timeout(hold, news).await;
        let now = clock::now();
        let view = node.view.borrow();
        let report = |(kind, content): &(Kind, Revision)| {
            let mut report = view.kind(*kind)?.report(*kind, *content, now)?;
            if *kind == Kind::Configuration && large(&report) {
                report.objects.clear();
                report.complete = false;
            }
            Some(report)
        };
        Return::View {
            held: now.saturating_sub(start),
            reports: known.iter().filter_map(report).collect(),
        }
    }
}

/// Whether a configuration is better read from the store than sent by a host to all others.
fn large(report: &KindReport) -> bool {
    report.objects.iter().any(|o| match &o.content {
        Some(Content::Configuration(c)) => c.routes.len() + c.keys.len() > LARGE_ENTRIES,
        _ => false,
    })
}

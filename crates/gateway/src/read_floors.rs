//! Recent positions of the primaries, which reads of bounded age have to cover.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::position::LogPosition;
use tokio::sync::watch;

use crate::clock;
use crate::member::control;
use crate::mesh::frame::Call;
use crate::mesh::frame::Response;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::read_floor::ReadFloor;

/// A position younger than this is passed on without querying the primary.
const FRESH_AGE: Duration = Duration::from_millis(250);
/// Time limit of a call for a position, which may include a query to the primary.
const FLOOR_TIMEOUT: Duration = Duration::from_millis(700);

/// Positions by service, and the pending queries for them.
#[derive(Debug, Default)]
pub struct ReadFloors {
    floors: RefCell<BTreeMap<String, ReadFloor>>,
    pending_queries: RefCell<BTreeMap<String, watch::Receiver<bool>>>,
    /// The first position that was observed after processes of hosts have ended, by service.
    after_ends: RefCell<BTreeMap<String, ReadFloor>>,
}

impl ReadFloors {
    /// Records a position that the primary reported in answer to a request sent at `at`.
    pub fn record(&self, service: &str, at: Duration, position: LogPosition) {
        let mut floors = self.floors.borrow_mut();
        let floor = floors.entry(service.to_owned()).or_default();
        floor.record(at, position);
    }

    /// A position that covers all commits of a service that were acknowledged longer than `age`
    /// ago.
    pub async fn covering<P: Platform>(
        &self,
        node: &Rc<Node<P>>,
        service: &str,
        age: Duration,
    ) -> Option<LogPosition> {
        // A position older than half of `age` is refreshed in the background, so that reads rarely
        // wait for it.
        let is_recent = self.known(service, age / 2).is_some();
        if let Some(position) = self.known(service, age).filter(|_| is_recent) {
            return Some(position);
        }
        let mut query = self.query(node, service);
        if let Some(position) = self.known(service, age) {
            return Some(position);
        }
        // The sender is dropped when the query has ended.
        let _ = query.wait_for(|done| *done).await;
        self.known(service, age)
    }

    /// A recent position of the primary with its age. Queries the primary if none is known.
    pub async fn observe<P: Platform>(
        &self,
        node: &Rc<Node<P>>,
        service: &str,
    ) -> Option<(Duration, LogPosition)> {
        let primary = node.primary(service)?;
        let fresh = |seen: &(Duration, LogPosition)| seen.0 <= FRESH_AGE;
        if let Some(seen) = self.latest(service).filter(fresh) {
            return Some(seen);
        }
        let sent = clock::now();
        let status = control::status(node, &primary).await?;
        if status.primary && node.may_use_primary(service, &primary) {
            self.record(service, sent, status.received);
        }
        self.latest(service)
    }

    /// Observes a position of the primary, unless one has been kept that was observed at `since` or
    /// later.
    pub async fn observe_since<P: Platform>(
        &self,
        node: &Rc<Node<P>>,
        service: &str,
        since: Duration,
    ) {
        let now = clock::now();
        if now < since || self.observed_since(service, since).is_some() {
            return;
        }
        let age = now.saturating_sub(since);
        if let Some(position) = self.covering(node, service, age).await {
            let mut after_ends = self.after_ends.borrow_mut();
            let floor = after_ends.entry(service.to_owned()).or_default();
            floor.record(since, position);
        }
    }

    /// The kept position if it was observed at `since` or later. It covers every commit that was
    /// acknowledged before `since`.
    pub fn observed_since(&self, service: &str, since: Duration) -> Option<LogPosition> {
        let after_ends = self.after_ends.borrow();
        after_ends.get(service)?.covering(Duration::ZERO, since)
    }

    fn known(&self, service: &str, age: Duration) -> Option<LogPosition> {
        let floors = self.floors.borrow();
        floors.get(service)?.covering(age, clock::now())
    }

    fn latest(&self, service: &str) -> Option<(Duration, LogPosition)> {
        let floors = self.floors.borrow();
        floors.get(service)?.latest(clock::now())
    }

    /// Queries the primary's home for a position, once for all concurrent callers.
    fn query<P: Platform>(&self, node: &Rc<Node<P>>, service: &str) -> watch::Receiver<bool> {
        if let Some(running) = self.pending_queries.borrow().get(service) {
            return running.clone();
        }
        let (done, receiver) = watch::channel(false);
        let mut pending_queries = self.pending_queries.borrow_mut();
        pending_queries.insert(service.to_owned(), receiver.clone());
        let node = node.clone();
        let service = service.to_owned();
        tokio::task::spawn_local(async move {
            query_home(&node, &service).await;
            node.floors.pending_queries.borrow_mut().remove(&service);
            // The receivers are gone if all callers have timed out.
            let _ = done.send(true);
        });
        receiver
    }
}

async fn query_home<P: Platform>(node: &Rc<Node<P>>, service: &str) {
    let asked = clock::now();
    let Some(primary) = node.primary(service) else {
        return;
    };
    let Some(home) = node.home(&primary, |_| true) else {
        return;
    };
    let seen = if home == node.settings.host {
        node.floors.observe(node, service).await
    } else {
        let call = Call::ReadFloor {
            service: service.to_owned(),
        };
        match node.mesh.call(&home, call, FLOOR_TIMEOUT).await {
            Ok(Response::ReadFloor(seen)) => seen,
            answer => {
                tracing::debug!(
                    event = 641,
                    home,
                    ?answer,
                    "failed to get a position of the primary"
                );
                None
            }
        }
    };
    if let Some((age, position)) = seen {
        // The age was measured after the query was sent, so this time is not later than the real
        // one.
        node.floors
            .record(service, asked.saturating_sub(age), position);
    }
}

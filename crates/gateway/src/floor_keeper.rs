//! Recent positions of the primaries, for reads of a stated age.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::position::LogPosition;
use tokio::sync::watch;

use crate::clock;
use crate::member::control;
use crate::mesh::frame::Call;
use crate::mesh::frame::Return;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::read_floor::ReadFloor;

/// An observation of the primary younger than this is passed on without asking the primary.
const FRESH_OBSERVATION: Duration = Duration::from_millis(250);
/// Limit of a call for a position, which includes a question to the primary.
const FLOOR_LIMIT: Duration = Duration::from_millis(700);

/// Positions by service, and the questions for them that are under way.
#[derive(Debug, Default)]
pub struct FloorKeeper {
    floors: RefCell<BTreeMap<String, ReadFloor>>,
    asking: RefCell<BTreeMap<String, watch::Receiver<bool>>>,
}

impl FloorKeeper {
    /// Records a position that the primary reported to a request sent at `at`.
    pub fn record(&self, service: &str, at: Duration, position: LogPosition) {
        let mut floors = self.floors.borrow_mut();
        let floor = floors.entry(service.to_owned()).or_default();
        floor.record(at, position);
    }

    /// Position that covers all commits of a service acknowledged longer than `age` ago.
    pub async fn covering<P: Platform>(
        &self,
        node: &Rc<Node<P>>,
        service: &str,
        age: Duration,
    ) -> Option<LogPosition> {
        // Renewed in the background from half of the age on, so that reads rarely wait for it.
        if let Some(position) = self.known(service, age / 2) {
            return Some(position);
        }
        let mut asked = self.ask(node, service);
        if let Some(position) = self.known(service, age) {
            return Some(position);
        }
        // The sender is dropped when the question has ended.
        let _ = asked.wait_for(|done| *done).await;
        self.known(service, age)
    }

    /// A recent position of the primary with its age; asks the primary if none is known.
    pub async fn observe<P: Platform>(
        &self,
        node: &Rc<Node<P>>,
        service: &str,
    ) -> Option<(Duration, LogPosition)> {
        let primary = node.primary(service)?;
        let fresh = |seen: &(Duration, LogPosition)| seen.0 <= FRESH_OBSERVATION;
        if let Some(seen) = self.latest(service).filter(fresh) {
            return Some(seen);
        }
        let sent = clock::now();
        let status = control::status(node, &primary).await?;
        if status.primary && node.may_use(service, &primary) {
            self.record(service, sent, status.received);
        }
        self.latest(service)
    }

    fn known(&self, service: &str, age: Duration) -> Option<LogPosition> {
        let floors = self.floors.borrow();
        floors.get(service)?.covering(age, clock::now())
    }

    fn latest(&self, service: &str) -> Option<(Duration, LogPosition)> {
        let floors = self.floors.borrow();
        floors.get(service)?.latest(clock::now())
    }

    /// Asks the host that uses the primary for a position, once for all callers.
    fn ask<P: Platform>(&self, node: &Rc<Node<P>>, service: &str) -> watch::Receiver<bool> {
        if let Some(running) = self.asking.borrow().get(service) {
            return running.clone();
        }
        let (done, receiver) = watch::channel(false);
        let mut asking = self.asking.borrow_mut();
        asking.insert(service.to_owned(), receiver.clone());
        let node = node.clone();
        let service = service.to_owned();
        tokio::task::spawn_local(async move {
            ask_home(&node, &service).await;
            node.floors.asking.borrow_mut().remove(&service);
            // All callers may have reached their limits.
            let _ = done.send(true);
        });
        receiver
    }
}

async fn ask_home<P: Platform>(node: &Rc<Node<P>>, service: &str) {
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
        let call = Call::Floor {
            service: service.to_owned(),
        };
        match node.mesh.call(&home, call, FLOOR_LIMIT).await {
            Ok(Return::Floor(seen)) => seen,
            answer => {
                tracing::debug!(event = 641, home, ?answer, "no position of the primary");
                None
            }
        }
    };
    if let Some((age, position)) = seen {
        // The age was counted after the question left, so this time is not too late.
        node.floors
            .record(service, asked.saturating_sub(age), position);
    }
}

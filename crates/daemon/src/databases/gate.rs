//! Admission of work to the primary of one database group.

use std::sync::Arc;

use magnoliahatch_core::ids::Term;
use tokio::sync::watch;

/// State of a gate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GateState {
    /// The primary of this term or an older one gets no new work.
    pub closed: Option<Term>,
    /// Requests and transactions at the primary whose answers are not complete.
    pub active: usize,
}

/// Admits work to the primary. It is closed while a planned change of primary waits for the work
/// that is under way.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    state: Arc<watch::Sender<GateState>>,
}

impl Gate {
    /// Admits one piece of work to the primary of a term; none while that primary is closed.
    pub fn enter(&self, term: Term) -> Option<PrimaryUse> {
        let mut entered = false;
        self.state.send_if_modified(|state| {
            entered = state.closed.is_none_or(|closed| term > closed);
            state.active += usize::from(entered);
            false
        });
        entered.then(|| PrimaryUse(self.clone()))
    }

    /// Closes primaries up to a term, or opens the gate; whether this changed it.
    pub fn set(&self, closed: Option<Term>) -> bool {
        self.state.send_if_modified(|state| {
            let differs = state.closed != closed;
            state.closed = closed;
            differs
        })
    }

    pub fn state(&self) -> GateState {
        *self.state.borrow()
    }

    /// Notified when the gate opens or closes, and of work that ends while it is closed.
    pub fn subscribe(&self) -> watch::Receiver<GateState> {
        self.state.subscribe()
    }
}

/// One piece of work at the primary; it ends when this is dropped.
#[derive(Debug)]
pub struct PrimaryUse(Gate);

impl Drop for PrimaryUse {
    fn drop(&mut self) {
        self.0.state.send_if_modified(|state| {
            state.active -= 1;
            state.closed.is_some()
        });
    }
}

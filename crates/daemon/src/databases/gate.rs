//! Admission of work to the primary of one database group.

use std::sync::Arc;

use magnoliahatch_core::ids::Term;
use magnoliahatch_core::position::LogPosition;
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
        entered.then(|| PrimaryUse {
            gate: self.clone(),
            term,
        })
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
pub struct PrimaryUse {
    gate: Gate,
    /// Term in which the member was the primary when this was admitted.
    term: Term,
}

impl PrimaryUse {
    /// Position by which an answer is confirmed. A new primary may answer with a position of an
    /// older term until it has applied its own first entry. That part of its log is confirmed as
    /// soon as the same index is confirmed in the primary's own term: a member that leaves a term
    /// never returns to it, so its log was the same when it answered.
    pub(crate) fn confirmed_as(&self, position: LogPosition) -> LogPosition {
        LogPosition {
            term: position.term.max(self.term),
            ..position
        }
    }
}

impl Drop for PrimaryUse {
    fn drop(&mut self) {
        self.gate.state.send_if_modified(|state| {
            state.active -= 1;
            state.closed.is_some()
        });
    }
}

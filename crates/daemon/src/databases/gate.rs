//! Admission of requests and transactions to the primary of one database group.

use std::sync::Arc;

use magnoliahatch_core::ids::Term;
use magnoliahatch_core::position::LogPosition;
use tokio::sync::watch;

/// State of a gate.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GateState {
    /// The primaries of this term and of older ones accept no new work.
    pub closed: Option<Term>,
    /// Number of requests and transactions at the primary whose answers are incomplete.
    pub active: usize,
}

/// Admits requests and transactions to the primary. The gate is closed during a switchover, which
/// waits for the admitted ones to finish.
#[derive(Debug, Clone, Default)]
pub struct Gate {
    state: Arc<watch::Sender<GateState>>,
}

impl Gate {
    /// Admits one request or transaction to the primary of a term; returns none while the gate is
    /// closed for that term.
    pub fn enter(&self, term: Term) -> Option<PrimaryPermit> {
        let mut entered = false;
        self.state.send_if_modified(|state| {
            entered = state.closed.is_none_or(|closed| term > closed);
            state.active += usize::from(entered);
            false
        });
        entered.then(|| PrimaryPermit {
            gate: self.clone(),
            term,
        })
    }

    /// Closes the gate for the primaries up to a term, or opens it. Returns whether this changed
    /// it.
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

    /// Receivers are notified when the gate opens or closes, and when work ends while it is closed.
    pub fn subscribe(&self) -> watch::Receiver<GateState> {
        self.state.subscribe()
    }
}

/// Permit for one request or transaction at the primary, which counts as active until the permit is
/// dropped.
#[derive(Debug)]
pub struct PrimaryPermit {
    gate: Gate,
    /// Term of the primary at admission.
    term: Term,
}

impl PrimaryPermit {
    /// Position that must be confirmed before an answer with `position` is sent. A new primary may
    /// answer with a position of an older term until it has applied the first entry of its own
    /// term. Such a position is confirmed once the same index is confirmed in the primary's own
    /// term: a member never returns to a term that it has left, so its log was the same when it
    /// answered.
    pub(crate) fn confirmation_position(&self, position: LogPosition) -> LogPosition {
        LogPosition {
            term: position.term.max(self.term),
            ..position
        }
    }
}

impl Drop for PrimaryPermit {
    fn drop(&mut self) {
        self.gate.state.send_if_modified(|state| {
            state.active -= 1;
            state.closed.is_some()
        });
    }
}

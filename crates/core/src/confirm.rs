//! Answers that wait until their position is confirmed on a second member.

use std::collections::BTreeMap;

use crate::ids::LogIndex;
use crate::ids::Term;
use crate::position::LogPosition;

/// Number of a waiting answer.
pub type AnswerId = u64;

/// What became of a waiting answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Confirmed,
    /// The term ended before the confirmation was heard.
    Unknown,
}

/// Answers that wait for confirmation in one database group.
#[derive(Debug, Default)]
pub struct Confirmations {
    confirmed: LogPosition,
    term: Term,
    next: AnswerId,
    pending: BTreeMap<(LogPosition, AnswerId), ()>,
}

impl Confirmations {
    /// Adds an answer: its number if it has to wait, otherwise its verdict.
    pub fn add(&mut self, position: LogPosition) -> Result<AnswerId, Verdict> {
        if position.term < self.term {
            return Err(Verdict::Unknown);
        }
        if self.is_confirmed(position) {
            return Err(Verdict::Confirmed);
        }
        self.next += 1;
        self.pending.insert((position, self.next), ());
        Ok(self.next)
    }

    /// Forgets an answer that no longer waits.
    pub fn remove(&mut self, position: LogPosition, id: AnswerId) {
        self.pending.remove(&(position, id));
    }

    /// Position for the next call of `platform_wait`: the lowest, so that the answer that has
    /// waited longest is released first. The call's result usually covers the others as well.
    pub fn next_call(&self) -> Option<LogPosition> {
        self.pending.keys().next().map(|(position, _)| *position)
    }

    /// The primary reports what is confirmed in its term.
    pub fn on_confirmed(&mut self, term: Term, index: LogIndex) -> Vec<(AnswerId, Verdict)> {
        let mut released = self.on_term(term);
        if term == self.term {
            self.confirmed = self.confirmed.max(LogPosition { term, index });
            let done = self.confirmed;
            let keys: Vec<_> = self
                .pending
                .keys()
                .take_while(|(position, _)| *position <= done)
                .copied()
                .collect();
            for key in keys {
                self.pending.remove(&key);
                released.push((key.1, Verdict::Confirmed));
            }
        }
        released
    }

    /// A newer term began: answers of older terms can no longer be confirmed.
    pub fn on_term(&mut self, term: Term) -> Vec<(AnswerId, Verdict)> {
        if term <= self.term {
            return Vec::new();
        }
        self.term = term;
        let newer = self.pending.split_off(&(LogPosition { term, index: 0 }, 0));
        std::mem::replace(&mut self.pending, newer)
            .into_keys()
            .map(|(_, id)| (id, Verdict::Unknown))
            .collect()
    }

    fn is_confirmed(&self, position: LogPosition) -> bool {
        position.term == self.confirmed.term && position.index <= self.confirmed.index
    }
}

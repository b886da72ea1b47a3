//! Answers that are withheld until their log position is confirmed by a second member.

use std::collections::BTreeMap;

use crate::ids::LogIndex;
use crate::ids::Term;
use crate::position::LogPosition;

/// Identifier of a waiting answer.
pub type AnswerId = u64;

/// Result of waiting for a confirmation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfirmationStatus {
    Confirmed,
    /// The term ended before a confirmation arrived, so the entry may or may not survive.
    Unknown,
}

/// Answers of one database group that wait for confirmation.
#[derive(Debug, Default)]
pub struct PendingConfirmations {
    confirmed: LogPosition,
    term: Term,
    last_id: AnswerId,
    pending: BTreeMap<(LogPosition, AnswerId), ()>,
}

impl PendingConfirmations {
    /// Adds an answer. Returns its identifier if it must wait, otherwise its result as the error.
    pub fn add(&mut self, position: LogPosition) -> Result<AnswerId, ConfirmationStatus> {
        if position.term < self.term {
            return Err(ConfirmationStatus::Unknown);
        }
        if self.is_confirmed(position) {
            return Err(ConfirmationStatus::Confirmed);
        }
        self.last_id += 1;
        self.pending.insert((position, self.last_id), ());
        Ok(self.last_id)
    }

    /// Removes an answer that no longer waits.
    pub fn remove(&mut self, position: LogPosition, id: AnswerId) {
        self.pending.remove(&(position, id));
    }

    /// Position to pass to the next call of `platform_wait`: the lowest one, so that the answer
    /// with the oldest position is released first. The call's result usually covers later positions
    /// as well.
    pub fn next_awaited_position(&self) -> Option<LogPosition> {
        self.pending.keys().next().map(|(position, _)| *position)
    }

    /// Handles a report of the primary that its term's log is confirmed up to `index`, and returns
    /// the answers that no longer wait.
    pub fn on_confirmed(
        &mut self,
        term: Term,
        index: LogIndex,
    ) -> Vec<(AnswerId, ConfirmationStatus)> {
        let mut released = self.on_term(term);
        if term == self.term {
            self.confirmed = self.confirmed.max(LogPosition { term, index });
            let confirmed = self.confirmed;
            let keys: Vec<_> = self
                .pending
                .keys()
                .take_while(|(position, _)| *position <= confirmed)
                .copied()
                .collect();
            for key in keys {
                self.pending.remove(&key);
                released.push((key.1, ConfirmationStatus::Confirmed));
            }
        }
        released
    }

    /// Handles the start of a newer term. Answers of older terms can no longer be confirmed, so
    /// they are returned as unknown.
    pub fn on_term(&mut self, term: Term) -> Vec<(AnswerId, ConfirmationStatus)> {
        if term <= self.term {
            return Vec::new();
        }
        self.term = term;
        let newer = self.pending.split_off(&(LogPosition { term, index: 0 }, 0));
        std::mem::replace(&mut self.pending, newer)
            .into_keys()
            .map(|(_, id)| (id, ConfirmationStatus::Unknown))
            .collect()
    }

    fn is_confirmed(&self, position: LogPosition) -> bool {
        position.term == self.confirmed.term && position.index <= self.confirmed.index
    }
}

//! Waiting statements of one organisation within one class.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::model::statement_kind::StatementKind;
use crate::policy::admission_decision::Ticket;
use crate::policy::kind_counts::KindCounts;

/// Statements of an organisation, in order of deadline and arrival.
#[derive(Debug)]
pub struct Flow {
    pub weight: f64,
    /// Service time that was granted, divided by the weight, in seconds.
    pub virtual_time: f64,
    /// When a statement was last granted or moved to a higher class.
    pub last_turn: Duration,
    waiting: BTreeMap<(Duration, Ticket), StatementKind>,
    counts: KindCounts,
}

impl Flow {
    pub fn new(virtual_time: f64) -> Self {
        Self {
            weight: 1.0,
            virtual_time,
            last_turn: Duration::ZERO,
            waiting: BTreeMap::new(),
            counts: KindCounts::default(),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub fn insert(&mut self, deadline: Duration, ticket: Ticket, kind: StatementKind) {
        self.waiting.insert((deadline, ticket), kind);
        self.counts.add(kind);
    }

    pub fn remove(&mut self, deadline: Duration, ticket: Ticket) {
        if let Some(kind) = self.waiting.remove(&(deadline, ticket)) {
            self.counts.remove(kind);
        }
    }

    /// Removes the statement with the earliest deadline.
    pub fn pop(&mut self) -> Option<(Ticket, StatementKind)> {
        let ((_, ticket), kind) = self.waiting.pop_first()?;
        self.counts.remove(kind);
        Some((ticket, kind))
    }

    /// The statement with the earliest deadline.
    pub fn first(&self) -> Option<Ticket> {
        self.waiting.first_key_value().map(|((_, t), _)| *t)
    }

    /// The statement with the latest deadline.
    pub fn last(&self) -> Option<Ticket> {
        self.waiting.last_key_value().map(|((_, t), _)| *t)
    }

    pub fn counts(&self) -> &KindCounts {
        &self.counts
    }

    /// Counts of the statements with a deadline up to this one.
    pub fn counts_until(&self, deadline: Duration) -> KindCounts {
        let mut counts = KindCounts::default();
        for kind in self.waiting.range(..=(deadline, Ticket::MAX)) {
            counts.add(*kind.1);
        }
        counts
    }

    /// Number of waiting statements in proportion to the weight.
    pub fn backlog(&self) -> f64 {
        f64::from(self.counts.total()) / self.weight
    }
}

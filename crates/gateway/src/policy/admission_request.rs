//! A statement's request for a slot at a member.

use std::time::Duration;

use magnoliahatch_core::ids::OrganisationId;

use crate::model::statement_kind::StatementKind;

/// Lower priorities are served as this class. Configurations use a few; classes from 2^31 on are those
/// of statements that will probably end after their deadline.
const MAX_CLASS: u32 = 1 << 30;

/// What a statement's place in the queue of a member depends on.
#[derive(Debug, Clone)]
pub struct Request {
    pub organisation: OrganisationId,
    /// Share of the organisation in proportion to those of others.
    pub weight: f64,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    pub kind: StatementKind,
    pub deadline: Duration,
    /// Whether the statement belongs to an open transaction.
    pub in_transaction: bool,
}

impl Request {
    /// Class of the statement; lower ones are served first.
    pub fn class(&self) -> u32 {
        if self.in_transaction {
            0
        } else {
            self.priority.saturating_add(1).min(MAX_CLASS)
        }
    }
}

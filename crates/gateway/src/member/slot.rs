//! A permit to run one statement on a member.

use std::rc::Rc;
use std::time::Duration;

use crate::member::slot_queue::SlotQueue;
use crate::model::statement_kind::StatementKind;

/// Held while a statement runs. Dropping it admits the next waiting statement.
pub struct Slot {
    queue: Rc<SlotQueue>,
    kind: StatementKind,
    /// How long the member took; `None` if it did not run the statement or did not answer.
    used: Option<Duration>,
}

impl Slot {
    pub(super) fn new(queue: Rc<SlotQueue>, kind: StatementKind) -> Self {
        Self {
            queue,
            kind,
            used: None,
        }
    }

    /// Frees the slot of a statement that the member ran.
    pub fn finish(mut self, used: Duration) {
        self.used = Some(used);
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.queue.on_free(self.kind, self.used);
    }
}

//! A permit to run one statement on a member.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::member::pool::Pool;
use crate::model::statement_kind::StatementKind;
use crate::platform::Platform;

/// Held while a statement runs. Dropping it admits the next waiting statement.
pub struct Slot<P: Platform> {
    pool: Rc<Pool<P>>,
    kind: StatementKind,
    acquired: Duration,
}

impl<P: Platform> Slot<P> {
    pub(super) fn new(pool: Rc<Pool<P>>, kind: StatementKind) -> Self {
        Self {
            pool,
            kind,
            acquired: clock::now(),
        }
    }
}

impl<P: Platform> Drop for Slot<P> {
    fn drop(&mut self) {
        let used = clock::now().saturating_sub(self.acquired);
        self.pool.on_slot_free(self.kind, used);
    }
}

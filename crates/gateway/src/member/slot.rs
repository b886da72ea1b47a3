//! A place among the statements that run at a member.

use std::rc::Rc;
use std::time::Duration;

use crate::clock;
use crate::member::pool::Pool;
use crate::platform::Platform;

/// Held while a statement runs; dropping it admits the next one.
pub struct Slot<P: Platform> {
    pool: Rc<Pool<P>>,
    since: Duration,
}

impl<P: Platform> Slot<P> {
    pub(super) fn new(pool: Rc<Pool<P>>) -> Self {
        Self {
            pool,
            since: clock::now(),
        }
    }
}

impl<P: Platform> Drop for Slot<P> {
    fn drop(&mut self) {
        let used = clock::now().saturating_sub(self.since);
        self.pool.on_slot_free(used);
    }
}

//! Guard that counts one piece of work.

use magnoliahatch_core::drain::DrainSubject;

use crate::drains::DrainTracker;

/// Counts one piece of work, such as an open connection or a session, until it is dropped.
#[derive(Debug)]
pub struct WorkGuard {
    drains: DrainTracker,
    subjects: Vec<DrainSubject>,
}

impl WorkGuard {
    pub(super) fn new(drains: DrainTracker, subjects: Vec<DrainSubject>) -> Self {
        Self { drains, subjects }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.drains.end(&self.subjects);
    }
}

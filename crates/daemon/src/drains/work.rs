//! Guard that counts one piece of work.

use magnoliahatch_core::drain::DrainSubject;

use crate::drains::Drains;

/// Counts one piece of work, such as an open connection or a session, until it is dropped.
#[derive(Debug)]
pub struct Work {
    drains: Drains,
    subjects: Vec<DrainSubject>,
}

impl Work {
    pub(super) fn new(drains: Drains, subjects: Vec<DrainSubject>) -> Self {
        Self { drains, subjects }
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.drains.end(&self.subjects);
    }
}

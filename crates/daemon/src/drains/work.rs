//! One piece of counted work.

use magnoliahatch_core::drain::DrainSubject;

use crate::drains::Drains;

/// One piece of counted work, such as an open connection; it ends when this is dropped.
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

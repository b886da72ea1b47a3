//! Clean-up that also runs when a future is dropped.

/// Runs a closure when dropped, unless disarmed.
pub struct Guard<F: FnMut()>(Option<F>);

/// Runs `run` when the guard is dropped.
pub fn on_drop<F: FnMut()>(run: F) -> Guard<F> {
    Guard(Some(run))
}

impl<F: FnMut()> Guard<F> {
    /// Drops the guard without running the closure.
    pub fn disarm(mut self) {
        self.0 = None;
    }
}

impl<F: FnMut()> Drop for Guard<F> {
    fn drop(&mut self) {
        if let Some(mut run) = self.0.take() {
            run();
        }
    }
}

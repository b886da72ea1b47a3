//! Cleanup that also runs when a future is dropped before it completes.

/// Runs a closure when dropped, unless disarmed.
pub struct DropGuard<F: FnMut()>(Option<F>);

/// Creates a guard that calls `run` when it is dropped.
pub fn on_drop<F: FnMut()>(run: F) -> DropGuard<F> {
    DropGuard(Some(run))
}

impl<F: FnMut()> DropGuard<F> {
    /// Drops the guard without running the closure.
    pub fn disarm(mut self) {
        self.0 = None;
    }
}

impl<F: FnMut()> Drop for DropGuard<F> {
    fn drop(&mut self) {
        if let Some(mut run) = self.0.take() {
            run();
        }
    }
}

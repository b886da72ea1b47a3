//! Stops a member from answering.

use tokio::sync::watch;

/// While closed, the member accepts bytes and answers nothing.
#[derive(Debug)]
pub(crate) struct Gate {
    frozen: watch::Sender<bool>,
    /// Data connections with a number up to this one never answer again.
    silenced: watch::Sender<i32>,
}

impl Gate {
    pub(crate) fn new() -> Self {
        Self {
            frozen: watch::Sender::new(false),
            silenced: watch::Sender::new(0),
        }
    }

    pub(crate) fn set_frozen(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    pub(crate) fn silence(&self, up_to: i32) {
        self.silenced.send_replace(up_to);
    }

    /// Returns once the member is not frozen.
    pub(crate) async fn thawed(&self) {
        // The sender is part of self, so the wait cannot fail.
        let _ = self.frozen.subscribe().wait_for(|frozen| !frozen).await;
    }

    pub(crate) fn is_silenced(&self, connection: i32) -> bool {
        connection <= *self.silenced.borrow()
    }
}

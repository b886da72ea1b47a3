//! What one client, message or answer holds of the memory for clients.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;

use crate::client_memory::ClientMemory;
use crate::clock;
use crate::member::drop_guard::on_drop;
use crate::model::client_refusal::ClientRefusal;
use crate::policy::client_budget::HolderId;
use crate::policy::client_budget::Reservation;

/// Interval at which a waiting holder lets the budget decide again.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of kinds of bytes.
const KINDS: usize = 5;

/// What a holder waits for or was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HolderState {
    Idle,
    Waiting,
    /// The holder must give up its bytes.
    Closed(ClientRefusal),
}

/// What bytes are held for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeldFor {
    /// Input that is not decoded yet.
    Input = 0,
    /// The message that runs.
    Message = 1,
    /// Values and prepared statements.
    State = 2,
    /// Rows that are not encoded yet.
    Answer = 3,
    /// Encoded answers that the client has not read.
    Output = 4,
}

/// A holder of bytes. Dropping it releases them.
#[derive(Debug)]
pub struct HeldBytes {
    memory: Rc<ClientMemory>,
    id: HolderId,
    state: watch::Receiver<HolderState>,
    /// Bytes that do not count.
    allowance: u64,
    parts: [u64; KINDS],
}

impl HeldBytes {
    pub(crate) fn new(
        memory: Rc<ClientMemory>,
        id: HolderId,
        state: watch::Receiver<HolderState>,
        allowance: u64,
    ) -> Self {
        Self {
            memory,
            id,
            state,
            allowance,
            parts: [0; KINDS],
        }
    }

    pub fn id(&self) -> HolderId {
        self.id
    }

    /// Sets what is held for one purpose, even beyond the limit of the process.
    pub fn set(&mut self, purpose: HeldFor, bytes: u64) {
        let (before, after) = self.counted_with(purpose, bytes);
        self.parts[purpose as usize] = bytes;
        if after > before {
            let id = self.id;
            self.memory.update(|budget| budget.add(id, after - before));
        } else if after < before {
            let id = self.id;
            self.memory
                .update(|budget| budget.release(id, before - after));
        }
    }

    /// As `set`, if the process has the memory. Returns whether it has.
    pub fn try_set(&mut self, purpose: HeldFor, bytes: u64) -> bool {
        let (before, after) = self.counted_with(purpose, bytes);
        if after <= before {
            self.set(purpose, bytes);
            return true;
        }
        let id = self.id;
        let more = after - before;
        let granted = self.memory.update(|budget| budget.try_reserve(id, more));
        if granted {
            self.parts[purpose as usize] = bytes;
        }
        granted
    }

    /// As `set`, but waits until the process has the memory. Fails if this holder must give up what it has.
    pub async fn wait_set(&mut self, purpose: HeldFor, bytes: u64) -> Result<(), ClientRefusal> {
        let (before, after) = self.counted_with(purpose, bytes);
        if after <= before {
            self.set(purpose, bytes);
            return Ok(());
        }
        if let HolderState::Closed(cause) = *self.state.borrow() {
            return Err(cause);
        }
        let (id, more) = (self.id, after - before);
        let now = clock::now();
        let reserved = self.memory.update(|budget| budget.reserve(id, more, now));
        if reserved == Reservation::Waiting {
            self.wait_granted().await?;
        }
        self.parts[purpose as usize] = bytes;
        Ok(())
    }

    async fn wait_granted(&mut self) -> Result<(), ClientRefusal> {
        let (memory, id) = (self.memory.clone(), self.id);
        memory.on_waiting(id);
        // The wait may be cancelled, also after the bytes were granted.
        let counted = self.counted();
        let guard = on_drop(|| {
            memory.update(|budget| {
                budget.cancel(id);
                let held = budget.held(id);
                budget.release(id, held.saturating_sub(counted));
            });
            memory.on_granted(id);
        });
        let mut state = self.state.clone();
        loop {
            let current = *state.borrow_and_update();
            match current {
                HolderState::Idle => {
                    guard.disarm();
                    return Ok(());
                }
                HolderState::Closed(cause) => return Err(cause),
                HolderState::Waiting => {}
            }
            // The sender lives as long as this holder, and a timeout only leads to another check.
            let _ = tokio::time::timeout(RECHECK_INTERVAL, state.changed()).await;
            memory.update(|_| ());
        }
    }

    /// Records that something was sent or read.
    pub fn on_progress(&self) {
        if self.counted() > 0 {
            let (id, now) = (self.id, clock::now());
            self.memory.update(|budget| budget.on_progress(id, now));
        }
    }

    /// Sets whether the holder cannot be told to give up its bytes, since a statement runs.
    pub fn set_pinned(&self, pinned: bool) {
        let id = self.id;
        self.memory.update(|budget| budget.set_pinned(id, pinned));
    }

    /// Whether the holder must give up its bytes.
    pub fn is_closed(&self) -> bool {
        matches!(*self.state.borrow(), HolderState::Closed(_))
    }

    /// Waits until the holder must give up its bytes, and returns why.
    pub fn closed(&self) -> impl Future<Output = ClientRefusal> + use<> {
        let mut state = self.state.clone();
        async move {
            let closed = state.wait_for(|s| matches!(s, HolderState::Closed(_)));
            let closed = closed.await.map(|s| *s);
            match closed {
                Ok(HolderState::Closed(cause)) => cause,
                // The sender lives as long as this holder.
                _ => std::future::pending().await,
            }
        }
    }

    /// Releases all bytes.
    pub fn clear(&mut self) {
        for purpose in [
            HeldFor::Input,
            HeldFor::Message,
            HeldFor::State,
            HeldFor::Answer,
            HeldFor::Output,
        ] {
            self.set(purpose, 0);
        }
    }

    fn counted(&self) -> u64 {
        let total: u64 = self.parts.iter().sum();
        total.saturating_sub(self.allowance)
    }

    /// The bytes that count now, and those that would if `bytes` were held for a purpose.
    fn counted_with(&self, purpose: HeldFor, bytes: u64) -> (u64, u64) {
        let total: u64 = self.parts.iter().sum();
        let after = total - self.parts[purpose as usize] + bytes;
        (self.counted(), after.saturating_sub(self.allowance))
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.memory.remove(self.id);
    }
}

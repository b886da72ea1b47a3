//! Cancel requests of clients.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::BufMut;
use bytes::BytesMut;
use rand::Rng;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use crate::pool::connection::BackendKey;
use crate::pool::socket;

/// Request code of a cancel request.
pub(crate) const CANCEL_CODE: u32 = 80_877_102;
/// Time limit for sending a cancel request to a member.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Process id and secret that a client sends in a cancel request.
pub(crate) type CancelKey = (u32, u32);

/// Sessions by their cancel key.
#[derive(Debug, Default)]
pub(crate) struct CancelRegistry {
    slots: Mutex<HashMap<CancelKey, Arc<CancelSlot>>>,
}

/// Current target of the cancel requests of one session.
#[derive(Debug, Default)]
pub(crate) struct CancelSlot {
    state: Mutex<Target>,
}

#[derive(Debug, Default)]
struct Target {
    key: Option<BackendKey>,
    cancelled: bool,
}

impl CancelRegistry {
    /// Registers a session under a new random key.
    pub(crate) fn register(&self) -> (CancelKey, Arc<CancelSlot>) {
        let mut slots = self.slots.lock().expect("no holder of this lock panics");
        loop {
            let key = rand::rng().random::<CancelKey>();
            if let Entry::Vacant(free) = slots.entry(key) {
                let slot = Arc::<CancelSlot>::default();
                free.insert(Arc::clone(&slot));
                return (key, slot);
            }
        }
    }

    /// Number of registered sessions.
    pub(crate) fn len(&self) -> usize {
        self.slots
            .lock()
            .expect("no holder of this lock panics")
            .len()
    }

    pub(crate) fn remove(&self, key: CancelKey) {
        let mut slots = self.slots.lock().expect("no holder of this lock panics");
        slots.remove(&key);
    }

    /// Forwards a client's cancel request to the member connection that its session uses, if any.
    pub(crate) async fn cancel(&self, key: CancelKey) {
        let slot = {
            let slots = self.slots.lock().expect("no holder of this lock panics");
            slots.get(&key).cloned()
        };
        if let Some(target) = slot.and_then(|slot| slot.mark_cancelled()) {
            send(&target).await;
        }
    }
}

impl CancelSlot {
    /// Sets the connection on which a statement is about to be sent.
    pub(crate) fn begin(&self, key: BackendKey) {
        let mut target = self.state.lock().expect("no holder of this lock panics");
        target.key = Some(key);
        target.cancelled = false;
    }

    /// Clears the target after the statement. Returns whether a cancel request was or will be sent
    /// for its connection: it may arrive late, so the connection must not serve another session.
    pub(crate) fn end(&self) -> bool {
        let mut target = self.state.lock().expect("no holder of this lock panics");
        target.key = None;
        target.cancelled
    }

    fn mark_cancelled(&self) -> Option<BackendKey> {
        let mut target = self.state.lock().expect("no holder of this lock panics");
        target.cancelled |= target.key.is_some();
        target.key.clone()
    }
}

/// Sends a cancel request to a member. If that fails, the statement runs until its deadline.
pub(crate) async fn send(key: &BackendKey) {
    let sending = async {
        let mut stream = socket::connect(key.address).await?;
        let mut request = BytesMut::new();
        // Length and request code, then process id and secret as the member sent them.
        request.put_u32(u32::try_from(8 + key.body.len()).unwrap_or(u32::MAX));
        request.put_u32(CANCEL_CODE);
        request.put_slice(&key.body);
        stream.write_all(&request).await?;
        // The member closes the connection once it has handled the request.
        stream.read(&mut [0]).await.map(drop)
    };
    if let Ok(Err(error)) = tokio::time::timeout(SEND_TIMEOUT, sending).await {
        tracing::debug!(event = 211, %error, "cancel request failed");
    }
}

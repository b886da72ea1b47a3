//! Delays answers until their log position is confirmed on a second member.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_core::confirm::AnswerId;
use magnoliahatch_core::confirm::ConfirmationStatus;
use magnoliahatch_core::confirm::PendingConfirmations;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::LogIndex;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::position::LogPosition;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::sync::watch;

use crate::member_commands::CommandConnection;
use crate::member_commands::CommandError;
use crate::monitor::group::Group;

/// Time that the primary may wait in one call; short, so that a dead connection is detected soon.
const CALL_WAIT: Duration = Duration::from_millis(500);
/// Network time that is added to the wait for the timeout of a call.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(400);
/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Handle of the confirmation task of one database group.
#[derive(Debug)]
pub struct Confirmer {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    wake: Notify,
}

#[derive(Debug, Default)]
struct State {
    confirmations: PendingConfirmations,
    waiters: HashMap<AnswerId, oneshot::Sender<ConfirmationStatus>>,
}

impl Confirmer {
    /// Starts the task, which ends when `alive` closes.
    pub fn spawn(
        database: DatabaseId,
        addresses: BTreeMap<MemberId, SocketAddr>,
        group: Arc<Group>,
        mut alive: watch::Receiver<()>,
    ) -> Self {
        let shared = Arc::<Shared>::default();
        let task = ConfirmTask {
            database,
            addresses,
            group,
            shared: Arc::clone(&shared),
        };
        tokio::spawn(async move {
            tokio::select! {
                _ = alive.changed() => {}
                () = task.run() => {}
            }
        });
        Self { shared }
    }

    /// Waits until a position is confirmed or superseded; returns `ConfirmationStatus::Unknown` at
    /// the deadline.
    pub async fn wait(&self, position: LogPosition, deadline: Instant) -> ConfirmationStatus {
        let (id, receiver) = {
            let mut state = self.shared.state();
            match state.confirmations.add(position) {
                Err(verdict) => return verdict,
                Ok(id) => {
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.insert(id, sender);
                    (id, receiver)
                }
            }
        };
        self.shared.wake.notify_one();
        match tokio::time::timeout_at(deadline.into(), receiver).await {
            Ok(Ok(verdict)) => verdict,
            _ => {
                let mut state = self.shared.state();
                state.confirmations.remove(position, id);
                state.waiters.remove(&id);
                ConfirmationStatus::Unknown
            }
        }
    }
}

impl Shared {
    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    fn on_confirmed(&self, term: Term, index: LogIndex) {
        let mut state = self.state();
        let released = state.confirmations.on_confirmed(term, index);
        state.release(released);
    }

    fn on_term(&self, term: Term) {
        let mut state = self.state();
        let released = state.confirmations.on_term(term);
        state.release(released);
    }
}

impl State {
    fn release(&mut self, released: Vec<(AnswerId, ConfirmationStatus)>) {
        for (id, verdict) in released {
            if let Some(waiter) = self.waiters.remove(&id) {
                // The session may have timed out.
                let _ = waiter.send(verdict);
            }
        }
    }
}

/// Task that calls `platform_wait` while answers are pending.
struct ConfirmTask {
    database: DatabaseId,
    addresses: BTreeMap<MemberId, SocketAddr>,
    group: Arc<Group>,
    shared: Arc<Shared>,
}

impl ConfirmTask {
    async fn run(self) {
        let mut connection: Option<(MemberId, CommandConnection)> = None;
        let mut view = self.group.subscribe();
        loop {
            let next = self.shared.state().confirmations.next_awaited_position();
            let Some(position) = next else {
                self.shared.wake.notified().await;
                continue;
            };
            let Some((member, term)) = self.group.primary() else {
                let _ = tokio::time::timeout(CALL_WAIT, view.changed()).await;
                continue;
            };
            if term > position.term {
                self.shared.on_term(term);
                continue;
            }
            match self.call(&mut connection, &member, position).await {
                Ok((term, index)) => self.shared.on_confirmed(term, index),
                Err(error) => {
                    tracing::debug!(event = 230, member, %error, "confirmation failed");
                    connection = None;
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    async fn call(
        &self,
        connection: &mut Option<(MemberId, CommandConnection)>,
        member: &MemberId,
        position: LogPosition,
    ) -> Result<(Term, LogIndex), CommandError> {
        let deadline = Instant::now() + CALL_WAIT + NETWORK_ALLOWANCE;
        if connection.as_ref().is_none_or(|(name, _)| name != member) {
            let address = self.addresses.get(member);
            let address = *address.ok_or(CommandError::InvalidAnswer("platform_wait"))?;
            let commands = CommandConnection::open(address, &self.database, deadline).await?;
            *connection = Some((member.clone(), commands));
        }
        let Some((_, commands)) = connection else {
            return Err(CommandError::InvalidAnswer("platform_wait"));
        };
        commands
            .wait(position.term, position.index, CALL_WAIT, deadline)
            .await
    }
}

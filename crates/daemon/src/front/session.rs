//! Session of one client.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_core::position::LogPosition;
use magnoliahatch_core::session::TxStatus;
use tokio::sync::watch;

use crate::drains;
use crate::front::auth::Identity;
use crate::front::batch::Batch;
use crate::front::batch::Portals;
use crate::front::cancel::CancelKey;
use crate::front::cancel::CancelSlot;
use crate::front::client::Client;
use crate::front::context::SessionContext;
use crate::front::message::Message;
use crate::front::proxy_commands::DEFAULT_DEADLINE;
use crate::front::refusal::Refusal;
use crate::pool::pooled_connection::PooledConnection;
use crate::wire::frame::Frame;
use crate::wire::frame_error::FrameError;
use crate::wire::tag;

/// Largest total size of the messages before a Sync or Flush.
const BATCH_LIMIT: usize = 64 * 1024 * 1024;
/// Time limit for sending the last message of a session.
pub(crate) const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// On a draining host, a session ends once its client has sent nothing for this long. Ending it
/// earlier would more often refuse a request that is sent just before the last message arrives.
const DRAIN_QUIET_PERIOD: Duration = Duration::from_millis(100);
/// After draining for this long, the session ends as soon as it is between transactions, even if
/// its client is sending requests, so that a draining host gets no new work.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Why a session ended.
pub(crate) enum SessionEnd {
    /// The client closed the connection, or the connection failed.
    Closed,
    Fatal(Refusal),
}

/// Session of one client.
pub(crate) struct Session {
    pub(crate) context: Arc<SessionContext>,
    pub(crate) client: Client,
    pub(crate) identity: Identity,
    pub(crate) state: magnoliahatch_core::session::Session,
    /// Member connection of the open transaction.
    pub(crate) pooled: Option<PooledConnection>,
    /// Newest log position whose data the client has seen.
    pub(crate) seen: Option<LogPosition>,
    pub(crate) max_age: Option<Duration>,
    pub(crate) time_limit: Duration,
    pub(crate) request_id: Option<String>,
    pub(crate) portals: Portals,
    /// The proxy rolled the transaction back, and the client has not ended it yet.
    pub(crate) rolled_back: bool,
    /// Messages were sent to the endpoint without a Sync after them.
    pub(crate) unsynced: bool,
    /// An error was sent to the client; messages up to the next Sync are ignored.
    pub(crate) skipping_to_sync: bool,
    pub(crate) cancel: Arc<CancelSlot>,
    key: CancelKey,
    pub(super) batch: Batch,
    /// Sent in answer to the next request.
    pub(super) pending_refusal: Option<Refusal>,
    config: watch::Receiver<Arc<magnoliahatch_client::config_view::ConfigView>>,
    stop: watch::Receiver<bool>,
    work: Option<drains::WorkGuard>,
    /// Time when the session noticed that its host is draining.
    draining_since: Option<Instant>,
}

impl Drop for Session {
    fn drop(&mut self) {
        self.context.cancel_registry.remove(self.key);
    }
}

impl Session {
    pub(crate) fn new(context: Arc<SessionContext>, client: Client, identity: Identity) -> Self {
        let (key, cancel) = context.cancel_registry.register();
        let config = context.config.clone();
        let stop = context.stop.clone();
        let work = context
            .drains
            .track_session(&context.host, &context.data_centre);
        Self {
            context,
            client,
            identity,
            state: Default::default(),
            pooled: None,
            seen: None,
            max_age: None,
            time_limit: DEFAULT_DEADLINE,
            request_id: None,
            portals: Portals::new(),
            rolled_back: false,
            unsynced: false,
            skipping_to_sync: false,
            cancel,
            key,
            batch: Batch::default(),
            pending_refusal: None,
            config,
            stop,
            work: Some(work),
            draining_since: None,
        }
    }

    /// Key for cancel requests.
    pub(crate) fn cancel_key(&self) -> CancelKey {
        self.key
    }

    /// Transaction status as the client sees it.
    pub(crate) fn status(&self) -> TxStatus {
        if self.rolled_back {
            TxStatus::Failed
        } else {
            self.state.status
        }
    }

    /// Serves the client until the session ends.
    pub(crate) async fn serve(mut self) {
        let end = loop {
            if let Err(end) = self.process_next().await {
                break end;
            }
        };
        if let SessionEnd::Fatal(refusal) = end {
            tracing::debug!(event = 203, code = refusal.code(), %refusal, "session ended");
            let deadline = Instant::now() + CLOSE_TIMEOUT;
            let metrics = &self.context.metrics;
            metrics.count_refusal(&self.identity.organisation, refusal.code());
            // A client that does not close must not hold up the member or a drain.
            self.pooled = None;
            self.work = None;
            self.client.close(refusal.frame(true), deadline).await;
        }
    }

    /// Waits for one message or other event and handles it.
    async fn process_next(&mut self) -> Result<(), SessionEnd> {
        self.check_allowed()?;
        let idle = self.idle_limit();
        let is_draining = self.draining_since.is_some() && self.is_idle();
        let limit = if is_draining {
            Some(DRAIN_QUIET_PERIOD)
        } else {
            idle
        };
        let timer = async move {
            match limit {
                Some(limit) => tokio::time::sleep(limit).await,
                None => std::future::pending().await,
            }
        };
        let revocation = self.pooled.as_ref().map(PooledConnection::revocation);
        let revoked = async move {
            match revocation {
                Some(revoked) => revoked.await,
                None => std::future::pending().await,
            }
        };
        let frame = tokio::select! {
            biased;
            () = revoked => {
                // This closes the connection, and the member rolls the transaction back.
                self.pooled = None;
                self.state.on_connection_lost();
                self.portals.clear();
                self.unsynced = false;
                self.rolled_back = true;
                self.pending_refusal = Some(Refusal::LostTransaction);
                return Ok(());
            }
            frame = self.client.receive() => frame,
            changed = self.config.changed() => {
                return changed.map_err(|_| SessionEnd::Fatal(Refusal::Draining));
            }
            changed = self.stop.changed() => {
                return changed.map_err(|_| SessionEnd::Fatal(Refusal::Draining));
            }
            () = timer => {
                if is_draining {
                    return Err(SessionEnd::Fatal(Refusal::Draining));
                }
                tracing::info!(
                    event = 204,
                    organisation = self.identity.organisation,
                    "transaction exceeded the idle timeout and was rolled back"
                );
                self.rolled_back = self.state.status != TxStatus::Idle;
                self.roll_back().await;
                self.unsynced = false;
                self.pending_refusal = Some(Refusal::IdleTransaction);
                return Ok(());
            }
        };
        match frame {
            None | Some(Err(FrameError::Io(_))) => Err(SessionEnd::Closed),
            Some(Err(error)) => Err(SessionEnd::Fatal(error.into())),
            Some(Ok(frame)) => {
                self.check_allowed()?;
                self.on_frame(frame).await
            }
        }
    }

    /// Ends the session if its key or route is no longer valid or, between transactions, if the
    /// host has been draining for too long.
    fn check_allowed(&mut self) -> Result<(), SessionEnd> {
        if !self.identity.is_allowed(&self.context.config.borrow()) {
            return Err(SessionEnd::Fatal(Refusal::Withdrawn));
        }
        if !self.context.is_draining() {
            self.draining_since = None;
            return Ok(());
        }
        let since = *self.draining_since.get_or_insert_with(Instant::now);
        if self.is_idle() && since.elapsed() > DRAIN_TIMEOUT {
            return Err(SessionEnd::Fatal(Refusal::Draining));
        }
        Ok(())
    }

    /// Whether no transaction and no request is in progress.
    fn is_idle(&self) -> bool {
        self.status() == TxStatus::Idle
            && self.pooled.is_none()
            && self.batch.messages.is_empty()
            && !self.skipping_to_sync
    }

    fn idle_limit(&self) -> Option<Duration> {
        self.pooled.as_ref()?;
        let view = self.context.config.borrow();
        let contract = view.contracts.get(&self.identity.organisation)?;
        Some(Duration::from_millis(contract.idle_in_transaction_ms))
    }

    async fn on_frame(&mut self, frame: Frame) -> Result<(), SessionEnd> {
        match frame.tag() {
            tag::TERMINATE => return Err(SessionEnd::Closed),
            tag::SYNC if self.skipping_to_sync => {
                self.skipping_to_sync = false;
                self.batch = Batch::default();
                return self.resynchronise().await;
            }
            _ if self.skipping_to_sync => return Ok(()),
            tag::QUERY => {
                let result = self.on_query(frame).await;
                return self.report(result, true).await;
            }
            tag::SYNC | tag::FLUSH => {
                let to_ready = frame.tag() == tag::SYNC;
                let batch = std::mem::take(&mut self.batch);
                let result = self.on_batch(batch, to_ready).await;
                return self.report(result, to_ready).await;
            }
            // Left over from a COPY that was refused.
            tag::COPY_DATA | tag::COPY_DONE | tag::COPY_FAIL => return Ok(()),
            tag::FUNCTION_CALL => {
                let refusal = Refusal::Unsupported {
                    statement: "function call message",
                    alternative: "use SELECT",
                };
                return self.report(Err(refusal.into()), true).await;
            }
            _ => {}
        }
        let collected = self.collect(frame);
        if let Err(Refusal::Unexpected(found)) = collected {
            return Err(SessionEnd::Fatal(Refusal::Unexpected(found)));
        }
        match collected {
            Ok(()) => Ok(()),
            Err(refusal) => self.report(Err(refusal.into()), false).await,
        }
    }

    /// Decodes a message of the extended protocol and adds it to the batch.
    fn collect(&mut self, frame: Frame) -> Result<(), Refusal> {
        self.batch.size += frame.raw().len();
        if self.batch.size > BATCH_LIMIT {
            return Err(Refusal::Protocol(FrameError::TooLarge {
                tag: char::from(frame.tag()),
                length: u32::try_from(self.batch.size).unwrap_or(u32::MAX),
                limit: BATCH_LIMIT,
            }));
        }
        let message = Message::read(frame, &self.identity.organisation, &mut self.state)?;
        if let Some(class) = self.batch.push(message, &mut self.portals) {
            let frames = self.interpret(&class)?;
            self.batch.answer_last(frames);
        }
        Ok(())
    }
}

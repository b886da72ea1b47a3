//! Completes requests: updates the session, waits for confirmation and sends the rest of the
//! answer.

use std::time::Instant;

use magnoliahatch_core::confirm::ConfirmationStatus;
use magnoliahatch_core::outcome::Outcome;
use magnoliahatch_core::outcome::Resolution;
use magnoliahatch_core::session::TxStatus;

use crate::front::execute::Attempt;
use crate::front::execute::MAX_RETRIES;
use crate::front::execute::RequestError;
use crate::front::pipeline::Pipeline;
use crate::front::proxy_commands;
use crate::front::refusal::Refusal;
use crate::front::relay::Relay;
use crate::front::relay::RelayError;
use crate::front::session::Session;
use crate::front::session::SessionEnd;
use crate::pool::pooled_connection::PooledConnection;
use crate::wire::encode;
use crate::wire::frame::Frame;

impl Session {
    /// Handles the loss of the connection during a request. Returns `Ok(None)` if the request is to
    /// be retried, and otherwise the error for the client.
    pub(crate) fn on_lost(
        &mut self,
        error: RelayError,
        attempt: &mut Attempt,
    ) -> Result<Option<String>, RequestError> {
        tracing::info!(event = 214, %error, progress = ?attempt.progress, "answer lost");
        self.portals.clear();
        self.unsynced = false;
        let open = self.state.status != TxStatus::Idle;
        self.state.on_connection_lost();
        let resolution = attempt.progress.resolve();
        let time_left = Instant::now() < attempt.deadline && attempt.retries < MAX_RETRIES;
        let retry_budgets = &self.context.retry_budgets;
        let repeat = resolution == Resolution::Retry && time_left;
        if repeat && retry_budgets.on_retry(&self.identity.organisation) {
            attempt.retries += 1;
            attempt.replica = false;
            attempt.progress.sent = false;
            return Ok(None);
        }
        let outcome = attempt.progress.outcome();
        if open && outcome == Outcome::NotRun {
            self.rolled_back = true;
            return Err(Refusal::LostTransaction.into());
        }
        let cause = error.to_string();
        Err(Refusal::Lost { cause, outcome }.into())
    }

    /// Updates the state of session and connection with what the endpoint completed.
    pub(crate) fn settle(
        &mut self,
        pooled: &mut PooledConnection,
        pipeline: &Pipeline,
        relay: &Relay,
        setup_count: usize,
        status: TxStatus,
    ) {
        let failed = relay.error.is_some();
        for class in &relay.completed {
            self.state.on_complete(class);
        }
        self.state.on_ready(status, failed);
        self.unsynced = false;
        let connection_state = &mut pooled.connection().connection_state;
        if failed {
            // It is not known whether the statement to be displaced was closed.
            if pipeline.closes {
                connection_state.mark_unusable();
            }
            let known = relay.parsed.saturating_sub(setup_count);
            for name in pipeline.parsed.iter().skip(known) {
                connection_state.remove_statement(name);
            }
        }
        if status == TxStatus::Idle {
            self.portals.clear();
            // A failed request also rolls back the setup statements sent with it.
            if !(failed && setup_count > 0) {
                connection_state.on_ready(&self.identity.organisation, &self.state);
            }
        } else if setup_count > 0 {
            connection_state.mark_unusable();
        }
    }

    /// Returns the connection, waits until the answer is confirmed and sends the rest of it.
    pub(crate) async fn finish(
        &mut self,
        mut pooled: PooledConnection,
        mut relay: Relay,
        status: Option<TxStatus>,
        sent: Instant,
        attempt: &Attempt,
    ) -> Result<(), RequestError> {
        let position = pooled.connection().position;
        let awaited = position.map(|position| pooled.confirmation_position(position));
        let member = pooled.pool().member.clone();
        let group = &attempt.database.group;
        if let Some(position) = position {
            group.on_answer(&member, position, sent);
        }
        // Held until the answer is confirmed, so that a planned change of primary waits for it.
        let mut primary = None;
        if status == Some(TxStatus::Idle) {
            primary = pooled.take_primary_use();
            pooled.return_to_pool(TxStatus::Idle);
        } else {
            self.pooled = Some(pooled);
            self.unsynced = status.is_none();
        }
        let end = |_| RequestError::Ended(SessionEnd::Closed);
        let lost = |_| RequestError::Ended(SessionEnd::Closed);
        let Some(status) = status else {
            relay.send_buffered(&mut self.client).await.map_err(lost)?;
            self.feed(relay.take_unconfirmed(), attempt.deadline)
                .await?;
            self.client.flush(attempt.deadline).await.map_err(end)?;
            self.skipping_to_sync = relay.error.is_some();
            return Ok(());
        };
        let confirmed = match awaited {
            _ if attempt.replica => true,
            Some(position) => {
                let confirmer = &attempt.database.confirmer;
                let mut verdict = confirmer.wait(position, attempt.deadline).await;
                if verdict == ConfirmationStatus::Confirmed
                    && attempt.progress.read
                    && self.max_read_age().is_zero()
                {
                    let freshness = &attempt.database.freshness;
                    if !freshness.check(position.term, attempt.deadline).await {
                        verdict = ConfirmationStatus::Unknown;
                    }
                }
                verdict == ConfirmationStatus::Confirmed
            }
            // An error before any statement has run comes without a position.
            None => relay.error.is_some() && relay.completed.is_empty(),
        };
        if !confirmed {
            tracing::warn!(event = 215, member, ?position, "answer not confirmed");
            return Err(Refusal::Unconfirmed.into());
        }
        drop(primary);
        let before = self.seen;
        if let Some(position) = position {
            self.record_seen(position);
        }
        relay.send_buffered(&mut self.client).await.map_err(lost)?;
        let mut frames = relay.take_unconfirmed();
        if self.seen != before
            && let Some(token) = self.token()
        {
            frames.push(encode::parameter_status(proxy_commands::TOKEN, &token));
        }
        frames.push(encode::ready_for_query(status));
        self.feed(frames, attempt.deadline).await?;
        self.client.flush(attempt.deadline).await.map_err(end)
    }

    /// Adds messages to the client's write buffer.
    async fn feed(&mut self, frames: Vec<Frame>, deadline: Instant) -> Result<(), RequestError> {
        for frame in frames {
            let fed = self.client.feed(frame, deadline).await;
            fed.map_err(|_| RequestError::Ended(SessionEnd::Closed))?;
        }
        Ok(())
    }
}

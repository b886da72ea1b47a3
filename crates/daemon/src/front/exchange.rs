//! Sends a request to an endpoint and relays the answer.

use std::time::Instant;

use magnoliahatch_core::session::TxStatus;
use magnoliahatch_core::statement_class::StatementClass;

use crate::front::execute::Attempt;
use crate::front::execute::Request;
use crate::front::execute::SETUP_TIMEOUT;
use crate::front::pipeline::Pipeline;
use crate::front::relay::Relay;
use crate::front::relay::RelayError;
use crate::front::session::Session;
use crate::pool::open_error::OpenError;
use crate::pool::pooled_connection::PooledConnection;
use crate::wire::encode;
use crate::wire::frame::Frame;
use crate::wire::tag;

impl Session {
    /// Returns the setup statements that the connection needs before it serves the session; none
    /// within a transaction.
    pub(crate) fn setup_statements(&self, pooled: &mut PooledConnection) -> Vec<String> {
        if self.state.status != TxStatus::Idle || self.unsynced {
            return Vec::new();
        }
        let organisation = &self.identity.organisation;
        pooled
            .connection()
            .connection_state
            .setup_statements(organisation, &self.state)
    }

    /// Runs the setup statements on a connection.
    pub(crate) async fn prepare(
        &self,
        pooled: &mut PooledConnection,
        setup: &[String],
    ) -> Result<(), OpenError> {
        if setup.is_empty() {
            return Ok(());
        }
        pooled.connection().connection_state.on_setup_sent();
        query(pooled, &setup.join("; ")).await?;
        let connection_state = &mut pooled.connection().connection_state;
        connection_state.on_ready(&self.identity.organisation, &self.state);
        Ok(())
    }

    /// Builds the messages of a request and the relay for its answer. Setup statements that the
    /// connection still needs precede the request; if one fails, the request is skipped.
    pub(crate) fn compose(
        &self,
        pooled: &mut PooledConnection,
        request: &Request,
        setup: &[String],
        attempt: &Attempt,
    ) -> (Pipeline, Relay) {
        // Within a transaction, a request cannot be retried on another connection.
        let pinned = self.state.status != TxStatus::Idle || self.unsynced || !attempt.to_ready;
        let keep = !pinned;
        match request {
            Request::Query { frame, classes } => {
                let pipeline = Pipeline {
                    frames: vec![frame.clone()],
                    ..Pipeline::default()
                };
                (pipeline, Relay::simple(classes, keep, attempt.deadline))
            }
            Request::Batch(batch) => {
                let connection_state = &mut pooled.connection().connection_state;
                if !setup.is_empty() {
                    connection_state.on_setup_sent();
                }
                let mut pipeline = batch.pipeline(setup, connection_state, &self.portals);
                let last = if attempt.to_ready {
                    tag::SYNC
                } else {
                    tag::FLUSH
                };
                pipeline.frames.push(Frame::new(last, &[]));
                let steps = std::mem::take(&mut pipeline.steps);
                (pipeline, Relay::extended(steps, keep, attempt.deadline))
            }
        }
    }

    /// Sends the messages and relays the answer; the client can cancel the request meanwhile.
    /// Statements in `before` are sent together with the request. They must open a transaction
    /// block, so that the endpoint ignores the request if they fail.
    pub(crate) async fn exchange(
        &mut self,
        pooled: &mut PooledConnection,
        pipeline: &mut Pipeline,
        relay: &mut Relay,
        attempt: &mut Attempt,
        before: Option<&str>,
    ) -> Result<Option<TxStatus>, RelayError> {
        let connection = pooled.connection();
        connection.position = None;
        self.cancel.begin(connection.key.clone());
        let frames = std::mem::take(&mut pipeline.frames);
        let sending = async {
            if let Some(sql) = before {
                connection.feed(encode::query(sql)).await?;
            }
            for frame in frames {
                attempt.progress.sent = true;
                connection.feed(frame).await?;
            }
            connection.flush().await
        };
        let result = match tokio::time::timeout_at(attempt.deadline.into(), sending).await {
            Ok(Ok(())) if before.is_some() => match read_before(pooled).await {
                Ok(()) => relay.run(pooled, &mut self.client, attempt.to_ready).await,
                Err(error) => Err(RelayError::PrecedingStatement(error)),
            },
            Ok(Ok(())) => relay.run(pooled, &mut self.client, attempt.to_ready).await,
            Ok(Err(error)) => Err(RelayError::Endpoint(error)),
            Err(_) => Err(RelayError::Timeout),
        };
        if self.cancel.end() {
            pooled.connection().connection_state.mark_unusable();
        }
        result
    }
}

impl Request {
    /// Whether setup statements may be sent together with the request. In a transaction block, a
    /// rollback would undo them too, and a simple query is not skipped when they fail.
    pub(crate) fn may_carry_setup(&self) -> bool {
        let plain =
            |class: &StatementClass| matches!(class, StatementClass::Read | StatementClass::Write);
        matches!(self, Self::Batch(_)) && self.classes().iter().all(plain)
    }
}

/// Reads the answer to the statements before a request and, if they failed, also the answer to the
/// request.
async fn read_before(pooled: &mut PooledConnection) -> Result<(), OpenError> {
    let connection = pooled.connection();
    let reading = async {
        let before = connection.read_rows().await;
        if matches!(before, Err(OpenError::Refused { .. })) {
            let _ = connection.read_rows().await;
        }
        before.map(drop)
    };
    match tokio::time::timeout(SETUP_TIMEOUT, reading).await {
        Ok(result) => result,
        Err(_) => Err(OpenError::Timeout),
    }
}

/// Runs statements of the proxy itself and returns the rows.
pub(crate) async fn query(
    pooled: &mut PooledConnection,
    sql: &str,
) -> Result<Vec<Vec<Option<String>>>, OpenError> {
    let sent = Instant::now();
    match tokio::time::timeout(SETUP_TIMEOUT, pooled.connection().query(sql)).await {
        Ok(result) => result,
        Err(_) => {
            pooled.pool().on_response_timeout(sent);
            Err(OpenError::Timeout)
        }
    }
}

//! Relays an endpoint's answer to the client.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use futures::FutureExt;
use magnoliahatch_core::session::TxStatus;
use magnoliahatch_core::statement_class::StatementClass;
use thiserror::Error;

use crate::front::client::Client;
use crate::front::pipeline::Step;
use crate::pool::connection::Connection;
use crate::pool::open_error::OpenError;
use crate::pool::pooled_connection::PooledConnection;
use crate::wire::body_reader;
use crate::wire::frame::Frame;
use crate::wire::frame_error::FrameError;
use crate::wire::tag;

/// SQLSTATE read_only_sql_transaction: the member serves only reads and did not run the statement.
const READ_ONLY: &str = "25006";
/// Time without a message after which a busy connection is closed, once another connection of its
/// pool was found unresponsive.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Why an answer was not relayed completely.
#[derive(Debug, Error)]
pub(crate) enum RelayError {
    #[error("{0}")]
    Endpoint(FrameError),
    #[error("the endpoint ended the connection")]
    Closed,
    #[error("the host lost its share of the member's connections")]
    Revoked,
    #[error("no answer within the deadline")]
    Timeout,
    #[error("the endpoint answered out of order")]
    UnexpectedMessage,
    #[error("a statement before the request failed: {0}")]
    PrecedingStatement(OpenError),
    #[error("the caller's connection failed: {0}")]
    Client(FrameError),
}

/// Relays the answer to one request from the endpoint to the client.
#[derive(Debug)]
pub(crate) struct Relay {
    steps: VecDeque<Step>,
    /// Whether the request is a simple query, whose answer ends only with ReadyForQuery.
    simple: bool,
    /// Messages buffered while the request may still be retried at another member.
    buffered: Option<Vec<Frame>>,
    buffered_size: usize,
    /// Size up to which the whole answer is buffered, so that it can be recorded.
    record_limit: usize,
    /// The last completion and the messages after it, held until the answer is confirmed.
    unconfirmed: Vec<Frame>,
    /// A COMMIT within the request completed, so all messages after it are held too.
    committed: bool,
    /// Number of ParseComplete messages received.
    pub(crate) parsed: usize,
    classes: VecDeque<StatementClass>,
    /// Classes of the statements that the endpoint completed.
    pub(crate) completed: Vec<StatementClass>,
    /// SQLSTATE of the error that the endpoint reported.
    pub(crate) error: Option<String>,
    /// Whether any part of the answer was sent to the client.
    pub(crate) relayed: bool,
    deadline: Instant,
}

impl Relay {
    /// Creates the relay for the answer to a simple query.
    pub(crate) fn simple(classes: &[StatementClass], buffer: bool, deadline: Instant) -> Self {
        Self::new(VecDeque::new(), true, classes, buffer, deadline)
    }

    /// Creates the relay for the answer to messages of the extended protocol.
    pub(crate) fn extended(steps: Vec<Step>, buffer: bool, deadline: Instant) -> Self {
        Self::new(steps.into(), false, &[], buffer, deadline)
    }

    fn new(
        steps: VecDeque<Step>,
        simple: bool,
        classes: &[StatementClass],
        buffer: bool,
        deadline: Instant,
    ) -> Self {
        Self {
            steps,
            simple,
            buffered: buffer.then(Vec::new),
            buffered_size: 0,
            record_limit: 0,
            unconfirmed: Vec::new(),
            committed: false,
            parsed: 0,
            classes: classes.iter().cloned().collect(),
            completed: Vec::new(),
            error: None,
            relayed: false,
            deadline,
        }
    }

    /// Buffers the whole answer up to a size, so that it can be recorded.
    pub(crate) fn record(&mut self, limit: usize) {
        self.buffered = Some(Vec::new());
        self.record_limit = limit;
    }

    /// Returns the whole answer, or `None` if it exceeded the limit of `record`.
    pub(crate) fn recorded(&self) -> Option<&[Frame]> {
        self.buffered.as_deref()
    }

    /// Whether a read-only member refused the whole request before the client received any part of
    /// the answer.
    pub(crate) fn is_read_only(&self) -> bool {
        self.buffered.is_some() && self.error.as_deref() == Some(READ_ONLY)
    }

    /// Relays up to ReadyForQuery, or without `to_ready` up to the last expected response. Returns
    /// the transaction status, or `None` if the answer ended without ReadyForQuery.
    pub(crate) async fn run(
        &mut self,
        pooled: &mut PooledConnection,
        client: &mut Client,
        to_ready: bool,
    ) -> Result<Option<TxStatus>, RelayError> {
        let mut unresponsive = pooled.pool().unresponsive_since();
        let sent = Instant::now();
        let mut revoked = std::pin::pin!(pooled.revocation());
        loop {
            self.answer_locally(client).await?;
            if !to_ready && (self.steps.is_empty() || self.error.is_some()) {
                return Ok(None);
            }
            // Messages that have already arrived are read without setting up timers.
            let arrived = pooled.connection().receive().now_or_never();
            let frame = if let Some(result) = arrived {
                received(result)?
            } else {
                tokio::select! {
                biased;
                frame = receive(pooled.connection(), self.deadline) => frame?,
                () = &mut revoked => return Err(RelayError::Revoked),
                changed = unresponsive.changed() => {
                    let since = *unresponsive.borrow_and_update();
                    let last_received = pooled.connection().last_received;
                    if changed.is_ok() && since.is_some_and(|since| last_received < since) {
                        self.deadline = self.deadline.min(sent.max(last_received) + RESPONSE_TIMEOUT);
                    }
                    continue;
                }
                }
            };
            if frame.tag() == tag::READY {
                let status = frame.body().first().copied().and_then(TxStatus::from_byte);
                return status.map(Some).ok_or(RelayError::UnexpectedMessage);
            }
            self.on_frame(frame, client).await?;
        }
    }

    /// Sends the messages buffered while the request could still be retried elsewhere.
    pub(crate) async fn send_buffered(&mut self, client: &mut Client) -> Result<(), RelayError> {
        for frame in self.buffered.take().unwrap_or_default() {
            self.hold_or_send(frame, client).await?;
        }
        Ok(())
    }

    /// Takes the messages that are held until the answer is confirmed.
    pub(crate) fn take_unconfirmed(&mut self) -> Vec<Frame> {
        std::mem::take(&mut self.unconfirmed)
    }

    /// Handles one message of the endpoint according to the step that it belongs to.
    async fn on_frame(&mut self, frame: Frame, client: &mut Client) -> Result<(), RelayError> {
        match frame.tag() {
            tag::NOTICE | tag::NOTIFICATION => return self.deliver(frame, client).await,
            tag::PARAMETER_STATUS => {
                let discard = matches!(self.steps.front(), Some(Step::Discard(_)))
                    || Connection::is_position_report(&frame);
                return if discard {
                    Ok(())
                } else {
                    self.deliver(frame, client).await
                };
            }
            tag::ERROR => {
                self.error = Some(body_reader::error_field(&frame, b'C').unwrap_or_default());
                self.steps.clear();
                return self.deliver(frame, client).await;
            }
            // COPY is refused before it is sent, so this answer is not expected.
            tag::COPY_IN | tag::COPY_OUT | tag::COPY_BOTH => {
                return Err(RelayError::UnexpectedMessage);
            }
            _ => {}
        }
        if frame.tag() == tag::PARSE_COMPLETE {
            self.parsed += 1;
        }
        if self.simple {
            if matches!(frame.tag(), tag::COMMAND_COMPLETE | tag::EMPTY_QUERY) {
                let class = self.classes.pop_front();
                self.on_complete(&frame, class.into_iter().collect());
            }
            return self.deliver(frame, client).await;
        }
        match self.steps.front_mut() {
            Some(Step::Discard(kind)) => {
                if kind.is_answered_by(frame.tag()) {
                    self.steps.pop_front();
                }
                Ok(())
            }
            Some(Step::Forward(kind, classes)) => {
                if kind.is_answered_by(frame.tag()) {
                    let classes = std::mem::take(classes);
                    self.steps.pop_front();
                    if frame.tag() == tag::COMMAND_COMPLETE {
                        self.on_complete(&frame, classes);
                    }
                }
                self.deliver(frame, client).await
            }
            Some(Step::Local(_)) | None => Err(RelayError::UnexpectedMessage),
        }
    }

    fn on_complete(&mut self, frame: &Frame, classes: Vec<StatementClass>) {
        // COMMIT of a failed transaction rolls back, which only the command tag reveals.
        let rolled_back = frame.body().starts_with(b"ROLLBACK");
        self.committed |= classes.contains(&StatementClass::Commit);
        self.completed.extend(classes.into_iter().map(|class| {
            if rolled_back && class == StatementClass::Commit {
                StatementClass::Rollback
            } else {
                class
            }
        }));
    }

    /// Delivers the responses of the proxy itself that are next in order.
    async fn answer_locally(&mut self, client: &mut Client) -> Result<(), RelayError> {
        while matches!(self.steps.front(), Some(Step::Local(_))) {
            if let Some(Step::Local(frames)) = self.steps.pop_front() {
                for frame in frames {
                    self.deliver(frame, client).await?;
                }
            }
        }
        Ok(())
    }

    /// Buffers a message while the request may still be retried or its answer recorded.
    async fn deliver(&mut self, frame: Frame, client: &mut Client) -> Result<(), RelayError> {
        let Some(buffered) = &mut self.buffered else {
            return self.hold_or_send(frame, client).await;
        };
        // With the first row or completion, the member has accepted the statement.
        let accepted = matches!(
            frame.tag(),
            tag::DATA_ROW | tag::COMMAND_COMPLETE | tag::PORTAL_SUSPENDED | tag::EMPTY_QUERY
        );
        self.buffered_size += frame.raw().len();
        buffered.push(frame);
        if self.buffered_size > self.record_limit && (accepted || self.record_limit > 0) {
            self.send_buffered(client).await?;
        }
        Ok(())
    }

    /// Holds completions, and what must not precede them, until the answer is confirmed; sends the
    /// rest.
    async fn hold_or_send(&mut self, frame: Frame, client: &mut Client) -> Result<(), RelayError> {
        let completes = matches!(
            frame.tag(),
            tag::COMMAND_COMPLETE | tag::PORTAL_SUSPENDED | tag::EMPTY_QUERY
        );
        // An error reveals that a COMMIT before it in the same request took effect.
        let follows = matches!(
            frame.tag(),
            tag::NOTICE | tag::PARAMETER_STATUS | tag::ERROR
        );
        let holds = self.committed || (follows && !self.unconfirmed.is_empty());
        if holds || completes {
            if !holds {
                self.send_unconfirmed(client).await?;
            }
            self.unconfirmed.push(frame);
            return Ok(());
        }
        self.send_unconfirmed(client).await?;
        self.send(frame, client).await
    }

    async fn send_unconfirmed(&mut self, client: &mut Client) -> Result<(), RelayError> {
        for frame in self.take_unconfirmed() {
            self.send(frame, client).await?;
        }
        Ok(())
    }

    async fn send(&mut self, frame: Frame, client: &mut Client) -> Result<(), RelayError> {
        self.relayed = true;
        let sent = client.feed(frame, self.deadline).await;
        sent.map_err(RelayError::Client)
    }
}

async fn receive(connection: &mut Connection, deadline: Instant) -> Result<Frame, RelayError> {
    match tokio::time::timeout_at(deadline.into(), connection.receive()).await {
        Ok(result) => received(result),
        Err(_) => Err(RelayError::Timeout),
    }
}

fn received(result: Result<Option<Frame>, FrameError>) -> Result<Frame, RelayError> {
    result
        .map_err(RelayError::Endpoint)?
        .ok_or(RelayError::Closed)
}

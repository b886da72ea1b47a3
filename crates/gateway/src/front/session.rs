//! One client's open session.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::position::LogPosition;

use crate::clock;
use crate::front::client_connection::ClientConnection;
use crate::front::credentials::Credentials;
use crate::front::dispatch;
use crate::front::dispatch::FirstStatement;
use crate::front::messages::close_for_stop;
use crate::front::messages::error;
use crate::front::messages::ready;
use crate::front::session_end::SessionEnd;
use crate::front::session_state::SessionState;
use crate::front::transaction::Transaction;
use crate::held_bytes::HeldBytes;
use crate::held_bytes::HeldFor;
use crate::log_text::LogText;
use crate::member::channel_handle;
use crate::model::client_refusal::ClientRefusal;
use crate::model::error_code::ErrorCode;
use crate::model::job::Job;
use crate::model::job::Work;
use crate::model::outcome::Answer;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::Outcome;
use crate::model::outcome::failure;
use crate::model::reply::Reply;
use crate::model::request::Request;
use crate::model::statement::Statement;
use crate::model::transaction_state::TransactionState;
use crate::node::Node;
use crate::platform::Platform;
use crate::shutdown_stage::ShutdownStage;

/// While the host stops, a session outside a transaction is closed after this idle time. A client
/// that has just received an answer is likely to send its next request at once, and closing
/// immediately would fail that request.
const STOP_IDLE_TIME: Duration = Duration::from_millis(300);

/// An open session.
pub struct Session<P: Platform> {
    node: Rc<Node<P>>,
    credentials: Credentials<P>,
    kept: SessionState,
    state: TransactionState,
    transaction: Option<Transaction>,
    /// Position of this session's last commit.
    last_commit: Option<LogPosition>,
}

impl<P: Platform> Session<P> {
    pub fn new(node: Rc<Node<P>>, credentials: Credentials<P>) -> Self {
        Self {
            kept: SessionState::new(node.settings.clients),
            node,
            credentials,
            state: TransactionState::Idle,
            transaction: None,
            last_commit: None,
        }
    }

    /// Answers the client's requests until the session ends.
    pub async fn run(&mut self, connection: &mut ClientConnection<P>) -> Result<(), SessionEnd> {
        let mut stage = self.node.stage.subscribe();
        loop {
            let reached = *stage.borrow_and_update();
            if reached == ShutdownStage::RollingBack && self.transaction.is_some() {
                self.end_transaction();
                return close_for_stop::<P>(connection, ErrorCode::Aborted).await;
            }
            let idle_time = if reached == ShutdownStage::Serving {
                Duration::MAX
            } else {
                STOP_IDLE_TIME
            };
            let request = tokio::select! {
                request = connection.next() => request,
                () = sleep_or_pend(idle_time) => {
                    if self.transaction.is_none() {
                        return close_for_stop::<P>(connection, ErrorCode::Busy).await;
                    }
                    continue;
                }
                _ = stage.changed() => continue,
            };
            let Some(request) = request else {
                return Ok(());
            };
            match request? {
                Request::Close => return Ok(()),
                Request::Query { .. } if self.transaction.is_none() && self.node.is_closing() => {
                    return close_for_stop::<P>(connection, ErrorCode::Busy).await;
                }
                Request::Query { id, statement } => {
                    self.run_query(connection, id, statement).await?
                }
                Request::Start { .. } => {
                    self.send_error(connection, ErrorCode::Malformed, None)
                        .await?
                }
                Request::Invalid(code) => {
                    let database = &self.credentials.session.database;
                    tracing::info!(event = 647, database, ?code, "message of a client refused");
                    self.send_error(connection, code, None).await?;
                }
            }
        }
    }

    async fn run_query(
        &mut self,
        connection: &mut ClientConnection<P>,
        id: Bytes,
        statement: Statement,
    ) -> Result<(), SessionEnd> {
        let running = self.node.running.clone();
        running.set(running.get() + 1);
        let result = self.answer_query(connection, id, statement).await;
        running.set(running.get() - 1);
        result
    }

    /// Runs a statement and sends its outcome.
    async fn answer_query(
        &mut self,
        connection: &mut ClientConnection<P>,
        id: Bytes,
        statement: Statement,
    ) -> Result<(), SessionEnd> {
        let started = clock::now();
        // A statement that runs ends within its time limit, and its outcome must be told.
        connection.held.set_pinned(true);
        let result = self
            .run_statement(&id, statement, &mut connection.held)
            .await;
        connection.held.set_pinned(false);
        match result {
            Ok(Some(answer)) => {
                connection.feed_rows(answer.rows).await?;
                connection.feed(Reply::Complete(Some(answer.proof))).await?;
                self.node.metrics.record_answered(
                    &self.credentials.session.database,
                    clock::now().saturating_sub(started),
                );
            }
            Ok(None) => connection.feed(Reply::Complete(None)).await?,
            Err(error) => {
                let waited = clock::now().saturating_sub(started);
                self.record_failure(&id, &error, waited);
                return self
                    .send_error(connection, error.code, Some(error.cause))
                    .await;
            }
        }
        connection.send(ready(self.state)).await
    }

    fn record_failure(&self, id: &Bytes, error: &Failure, waited: Duration) {
        let id = LogText(id);
        let waited = waited.as_millis() as u64;
        let (code, cause) = (error.code, error.cause);
        self.node
            .metrics
            .count_failure(&self.credentials.session.database, error);
        if (code, cause) == (ErrorCode::TooLarge, Cause::Reply) {
            self.node
                .metrics
                .count_client_refusal(ClientRefusal::AnswerSize);
        }
        let database = &self.credentials.session.database;
        tracing::info!(event = 661, %id, database, ?code, ?cause, waited, "statement failed");
    }

    async fn send_error(
        &mut self,
        connection: &mut ClientConnection<P>,
        code: ErrorCode,
        cause: Option<Cause>,
    ) -> Result<(), SessionEnd> {
        if self.state != TransactionState::Idle && self.transaction.is_some() {
            self.state = TransactionState::Failed;
        }
        connection.feed(error(code, cause)).await?;
        connection.send(ready(self.state)).await
    }

    /// Runs a statement. Returns `None` on success of a statement that the proxy answers itself.
    async fn run_statement(
        &mut self,
        id: &Bytes,
        statement: Statement,
        held: &mut HeldBytes,
    ) -> Result<Option<Answer>, Failure> {
        let malformed = || failure(ErrorCode::Malformed, Cause::Member);
        match (self.state, statement) {
            (TransactionState::Failed, Statement::Rollback) => {
                self.end_transaction();
                Ok(None)
            }
            (TransactionState::Failed, Statement::Commit) => {
                self.end_transaction();
                Err(failure(ErrorCode::Aborted, Cause::Member))
            }
            (TransactionState::Failed, _) => Err(malformed()),
            (TransactionState::Idle, Statement::Begin { read_only }) => {
                let route = self.credentials.route()?;
                self.transaction = Some(Transaction {
                    read_only,
                    route: Rc::new(route),
                    channel: None,
                    last_used: clock::now(),
                });
                self.state = TransactionState::Open;
                Ok(None)
            }
            (TransactionState::Open, Statement::Rollback) => {
                self.end_transaction();
                Ok(None)
            }
            (TransactionState::Open, Statement::Commit) => {
                let result = self.run_work(id, Work::Commit, held).await;
                self.end_transaction();
                result.map(Some)
            }
            (TransactionState::Open, Statement::Begin { .. })
            | (TransactionState::Idle, Statement::Commit | Statement::Rollback) => Err(malformed()),
            (_, Statement::Set { name, value }) => {
                let set = self.kept.set(&name, &value, held);
                self.on_kept(set)
            }
            (
                _,
                Statement::Prepare {
                    name,
                    access,
                    template,
                },
            ) => {
                let prepared = self.kept.prepare(&name, access, &template, held);
                self.on_kept(prepared)
            }
            (_, Statement::Deallocate { name }) => match self.kept.deallocate(&name, held) {
                true => Ok(None),
                false => Err(failure(ErrorCode::NoStatement, Cause::Member)),
            },
            (_, Statement::Read(text)) => self.run_work(id, Work::Read(text), held).await.map(Some),
            (_, Statement::Write(text)) => {
                self.run_work(id, Work::Write(text), held).await.map(Some)
            }
            (_, Statement::Execute { name, arguments }) => {
                let known = self.kept.prepared(&name).cloned();
                let (access, template) =
                    known.ok_or(failure(ErrorCode::NoStatement, Cause::Member))?;
                let work = Work::Execute {
                    access,
                    template,
                    arguments,
                };
                self.run_work(id, work, held).await.map(Some)
            }
        }
    }

    fn end_transaction(&mut self) {
        self.transaction = None;
        self.state = TransactionState::Idle;
    }

    /// Answers a statement that changes what the session keeps.
    fn on_kept(&self, result: Result<(), Failure>) -> Result<Option<Answer>, Failure> {
        if let Err(error) = &result {
            self.node.metrics.count_client_refusal(ClientRefusal::State);
            let (database, code) = (&self.credentials.session.database, error.code);
            tracing::info!(event = 695, database, ?code, "session state refused");
        }
        result.map(|()| None)
    }

    async fn run_work(
        &mut self,
        id: &Bytes,
        work: Work,
        held: &mut HeldBytes,
    ) -> Result<Answer, Failure> {
        let organisation = self.authorise()?;
        let read_only = self.transaction.as_ref().map(|t| t.read_only);
        let has_channel = self
            .transaction
            .as_ref()
            .is_some_and(|t| t.channel.is_some());
        let route = match &self.transaction {
            Some(transaction) => transaction.route.clone(),
            None => Rc::new(self.credentials.route()?),
        };
        let durable = matches!(work, Work::Commit) || (read_only.is_none() && work.writes());
        let job = Job {
            id: id.clone(),
            work,
            values: self.kept.values().clone(),
            version: self.credentials.version(),
            timeout: route.timeout,
        };
        let answer = if has_channel {
            self.run_in_transaction(job).await?
        } else {
            let quota = &self.node.quota;
            if !quota.take(&self.node, &organisation, route.priority).await {
                return Err(failure(ErrorCode::Busy, Cause::Rate));
            }
            let first = FirstStatement {
                regions: self.credentials.regions(&organisation)?,
                authorise: &|| self.credentials.authorise(&organisation),
                session: &self.credentials.session,
                route: &route,
                organisation: &organisation,
                transaction: read_only,
                last_commit: self.last_commit,
                job,
            };
            let (answer, channel) = dispatch::run_first(&self.node, first).await?;
            if let Some(transaction) = &mut self.transaction {
                transaction.channel = Some(channel);
            }
            answer
        };
        self.hold_answer(&answer, durable, held)?;
        if durable && let Some(position) = answer.position {
            self.last_commit = self.last_commit.max(Some(position));
        }
        if let Some(transaction) = &mut self.transaction {
            transaction.last_used = clock::now();
        }
        Ok(answer)
    }

    /// Counts the rows of an answer until they are sent. Without memory for them, the answer is dropped,
    /// unless it tells of a commit.
    fn hold_answer(
        &mut self,
        answer: &Answer,
        durable: bool,
        held: &mut HeldBytes,
    ) -> Result<(), Failure> {
        let bytes = answer.row_bytes();
        if durable {
            held.set(HeldFor::Answer, bytes);
            return Ok(());
        }
        if held.try_set(HeldFor::Answer, bytes) {
            return Ok(());
        }
        self.node
            .metrics
            .count_client_refusal(ClientRefusal::Answer);
        tracing::info!(event = 692, bytes, "no memory for the answer to a client");
        if let Some(transaction) = &mut self.transaction {
            // The client still has to end the failed transaction.
            transaction.channel = None;
        }
        Err(failure(ErrorCode::Aborted, Cause::Reply))
    }

    async fn run_in_transaction(&mut self, job: Job) -> Outcome {
        let channel = self.transaction.as_ref().and_then(|t| t.channel.as_ref());
        let Some(channel) = channel else {
            return Err(failure(ErrorCode::Aborted, Cause::Idle));
        };
        let outcome = channel_handle::outcome(channel.handle.send(job)).await;
        if outcome.is_err()
            && let Some(transaction) = &mut self.transaction
        {
            // Frees the member's connection; the client still has to end the failed transaction.
            transaction.channel = None;
        }
        outcome
    }

    /// Returns the organisation for which the next statement runs. Rolls an open transaction back if
    /// the current configuration does not allow it to go on.
    fn authorise(&mut self) -> Result<OrganisationId, Failure> {
        let result = self.check_transaction();
        if result.is_err()
            && let Some(transaction) = &mut self.transaction
        {
            // The client still has to end the failed transaction.
            transaction.channel = None;
        }
        result
    }

    fn check_transaction(&self) -> Result<OrganisationId, Failure> {
        let organisation = self.credentials.organisation()?;
        let transaction = self.transaction.as_ref();
        if let Some(channel) = transaction.and_then(|t| t.channel.as_ref())
            && !channel
                .access
                .allows(&organisation, &self.credentials.regions(&organisation)?)
        {
            return Err(failure(ErrorCode::Aborted, Cause::Access));
        }
        Ok(organisation)
    }
}

/// Sleeps for `time`; never returns if it is `Duration::MAX`.
async fn sleep_or_pend(time: Duration) {
    if time == Duration::MAX {
        std::future::pending().await
    } else {
        tokio::time::sleep(time).await;
    }
}

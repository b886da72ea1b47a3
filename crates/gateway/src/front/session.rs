//! One client's session.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::position::LogPosition;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::clock;
use crate::front::credentials::Credentials;
use crate::front::dispatch;
use crate::front::dispatch::FirstStatement;
use crate::front::messages::ClientConnection;
use crate::front::messages::close_for_stop;
use crate::front::messages::ready;
use crate::front::messages::refuse;
use crate::front::transaction::Transaction;
use crate::member::channel_handle;
use crate::model::error_code::ErrorCode;
use crate::model::job::Job;
use crate::model::job::Values;
use crate::model::job::Work;
use crate::model::outcome::Answer;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::Outcome;
use crate::model::outcome::failure;
use crate::model::reply::Reply;
use crate::model::request::Request;
use crate::model::statement::Access;
use crate::model::statement::Statement;
use crate::model::transaction_state::TransactionState;
use crate::node::Node;
use crate::platform::Platform;
use crate::shutdown_stage::ShutdownStage;
use crate::socket;
use crate::wire_error::WireError;

/// A client that has not sent its start message within this time is disconnected.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// While the host stops, a session outside a transaction is closed after this idle time. A client
/// that has just received an answer is likely to send its next request at once, and closing
/// immediately would fail that request.
const STOP_IDLE_TIME: Duration = Duration::from_millis(300);

/// Serves a client until the session ends.
pub async fn run<P: Platform>(node: Rc<Node<P>>, stream: TcpStream) {
    node.sessions.set(node.sessions.get() + 1);
    let result = serve(&node, stream).await;
    node.sessions.set(node.sessions.get() - 1);
    if let Err(error) = result {
        tracing::debug!(event = 660, %error, "session ended");
    }
}

async fn serve<P: Platform>(node: &Rc<Node<P>>, stream: TcpStream) -> Result<(), WireError> {
    socket::set_options(&stream)?;
    let mut connection: ClientConnection<P> = Framed::new(stream, P::ClientCodec::default());
    let first = match tokio::time::timeout(START_TIMEOUT, connection.next()).await {
        Ok(Some(request)) => request?,
        Ok(None) => return Ok(()),
        // No complete message arrived in time.
        Err(_) => Request::Invalid(ErrorCode::Malformed),
    };
    let (database, key) = match first {
        Request::Start { database, key } => (database, key),
        Request::Invalid(code) => return refuse::<P>(&mut connection, code).await,
        _ => return refuse::<P>(&mut connection, ErrorCode::Malformed).await,
    };
    let credentials = Credentials::new(node.clone(), &database, &key);
    if let Err(code) = credentials.check() {
        return refuse::<P>(&mut connection, code).await;
    }
    let mut session = Session::new(node.clone(), credentials);
    connection.send(ready(TransactionState::Idle)).await?;
    session.run(&mut connection).await
}

struct Session<P: Platform> {
    node: Rc<Node<P>>,
    credentials: Credentials<P>,
    values: Values,
    prepared: HashMap<Bytes, (Access, Bytes)>,
    state: TransactionState,
    transaction: Option<Transaction>,
    /// Position of this session's last commit.
    last_commit: Option<LogPosition>,
}

impl<P: Platform> Session<P> {
    fn new(node: Rc<Node<P>>, credentials: Credentials<P>) -> Self {
        Self {
            node,
            credentials,
            values: Values::new(),
            prepared: HashMap::new(),
            state: TransactionState::Idle,
            transaction: None,
            last_commit: None,
        }
    }

    async fn run(&mut self, connection: &mut ClientConnection<P>) -> Result<(), WireError> {
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
    ) -> Result<(), WireError> {
        let started = clock::now();
        let running = self.node.running.clone();
        running.set(running.get() + 1);
        let result = self.run_statement(&id, statement).await;
        running.set(running.get() - 1);
        match result {
            Ok(Some(answer)) => {
                for row in answer.rows {
                    connection.feed(Reply::Row(row)).await?;
                }
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
        let id = String::from_utf8_lossy(id);
        let waited = waited.as_millis() as u64;
        let (code, cause) = (error.code, error.cause);
        self.node
            .metrics
            .count_failure(&self.credentials.session.database, error);
        let database = &self.credentials.session.database;
        tracing::info!(event = 661, %id, database, ?code, ?cause, waited, "statement failed");
    }

    async fn send_error(
        &mut self,
        connection: &mut ClientConnection<P>,
        code: ErrorCode,
        cause: Option<Cause>,
    ) -> Result<(), WireError> {
        if self.state != TransactionState::Idle && self.transaction.is_some() {
            self.state = TransactionState::Failed;
        }
        let reason = match (cause, code) {
            (Some(cause), _) => format!("{cause:?}"),
            (None, ErrorCode::TooLarge) => "the message is too long".to_owned(),
            (None, _) => "the message is not valid".to_owned(),
        };
        let text = Bytes::from(reason);
        connection.feed(Reply::Error { code, text }).await?;
        connection.send(ready(self.state)).await
    }

    /// Runs a statement. Returns `None` on success of a statement that the proxy answers itself.
    async fn run_statement(
        &mut self,
        id: &Bytes,
        statement: Statement,
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
                let result = self.run_work(id, Work::Commit).await;
                self.end_transaction();
                result.map(Some)
            }
            (TransactionState::Open, Statement::Begin { .. })
            | (TransactionState::Idle, Statement::Commit | Statement::Rollback) => Err(malformed()),
            (_, Statement::Set { name, value }) => {
                self.set_value(name, value);
                Ok(None)
            }
            (
                _,
                Statement::Prepare {
                    name,
                    access,
                    template,
                },
            ) => {
                self.prepared.insert(name, (access, template));
                Ok(None)
            }
            (_, Statement::Deallocate { name }) => match self.prepared.remove(&name) {
                Some(_) => Ok(None),
                None => Err(failure(ErrorCode::NoStatement, Cause::Member)),
            },
            (_, Statement::Read(text)) => self.run_work(id, Work::Read(text)).await.map(Some),
            (_, Statement::Write(text)) => self.run_work(id, Work::Write(text)).await.map(Some),
            (_, Statement::Execute { name, arguments }) => {
                let known = self.prepared.get(&name).cloned();
                let (access, template) =
                    known.ok_or(failure(ErrorCode::NoStatement, Cause::Member))?;
                let work = Work::Execute {
                    access,
                    template,
                    arguments,
                };
                self.run_work(id, work).await.map(Some)
            }
        }
    }

    fn end_transaction(&mut self) {
        self.transaction = None;
        self.state = TransactionState::Idle;
    }

    fn set_value(&mut self, name: Bytes, value: Bytes) {
        match self.values.binary_search_by(|v| v.0.cmp(&name)) {
            Ok(index) => self.values[index].1 = value,
            Err(index) => self.values.insert(index, (name, value)),
        }
    }

    async fn run_work(&mut self, id: &Bytes, work: Work) -> Result<Answer, Failure> {
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
            values: self.values.clone(),
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
        if durable && let Some(position) = answer.position {
            self.last_commit = self.last_commit.max(Some(position));
        }
        if let Some(transaction) = &mut self.transaction {
            transaction.last_used = clock::now();
        }
        Ok(answer)
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

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
use crate::front::dispatch;
use crate::front::dispatch::Opening;
use crate::front::messages::Wire;
use crate::front::messages::goodbye;
use crate::front::messages::ready;
use crate::front::messages::refuse;
use crate::front::transaction::Transaction;
use crate::member::channel_handle;
use crate::model::configuration::Configuration;
use crate::model::error_code::ErrorCode;
use crate::model::job::Job;
use crate::model::job::Values;
use crate::model::job::Work;
use crate::model::outcome::Answer;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::Outcome;
use crate::model::outcome::failure;
use crate::model::region_limit::RegionLimit;
use crate::model::reply::Reply;
use crate::model::request::Request;
use crate::model::route::Route;
use crate::model::statement::Access;
use crate::model::statement::Statement;
use crate::model::transaction_state::TransactionState;
use crate::node::Node;
use crate::platform::Platform;
use crate::socket;
use crate::stage::Stage;
use crate::wire_error::WireError;

/// A client that has not named its route within this time is disconnected.
const START_LIMIT: Duration = Duration::from_secs(10);
/// At a stop, a session without a transaction is closed after this silence. A client that has just
/// had an answer is likely to send its next request, which a close would cut off.
const STOP_SILENCE: Duration = Duration::from_millis(300);
/// Organisation of sessions without a key, on routes that allow it.
const ANONYMOUS: &str = "-";

/// Serves a client until it leaves.
pub async fn run<P: Platform>(node: Rc<Node<P>>, stream: TcpStream) {
    node.sessions.set(node.sessions.get() + 1);
    let result = serve(&node, stream).await;
    node.sessions.set(node.sessions.get() - 1);
    if let Err(error) = result {
        tracing::debug!(event = 660, %error, "session ended");
    }
}

async fn serve<P: Platform>(node: &Rc<Node<P>>, stream: TcpStream) -> Result<(), WireError> {
    socket::prepare(&stream)?;
    let mut wire: Wire<P> = Framed::new(stream, P::ClientCodec::default());
    let Ok(Some(first)) = tokio::time::timeout(START_LIMIT, wire.next()).await else {
        return Ok(());
    };
    let Request::Start { database, key } = first? else {
        return refuse::<P>(&mut wire, ErrorCode::Malformed).await;
    };
    let mut session = Session::new(node.clone(), database, key);
    if let Err(code) = session.admitted() {
        return refuse::<P>(&mut wire, code).await;
    }
    wire.send(ready(TransactionState::Idle)).await?;
    session.run(&mut wire).await
}

struct Session<P: Platform> {
    node: Rc<Node<P>>,
    database: String,
    key: String,
    values: Values,
    prepared: HashMap<Bytes, (Access, Bytes)>,
    state: TransactionState,
    transaction: Option<Transaction>,
    /// Position of the last commit of this session.
    own: Option<LogPosition>,
}

impl<P: Platform> Session<P> {
    fn new(node: Rc<Node<P>>, database: Bytes, key: Bytes) -> Self {
        let text = |b: &Bytes| String::from_utf8_lossy(b).into_owned();
        Self {
            node,
            database: text(&database),
            key: text(&key),
            values: Values::new(),
            prepared: HashMap::new(),
            state: TransactionState::Idle,
            transaction: None,
            own: None,
        }
    }

    async fn run(&mut self, wire: &mut Wire<P>) -> Result<(), WireError> {
        let mut stage = self.node.stage.subscribe();
        loop {
            let reached = *stage.borrow_and_update();
            if reached == Stage::Ending && self.transaction.is_some() {
                self.end();
                return goodbye::<P>(wire, ErrorCode::Aborted).await;
            }
            let silence = if reached == Stage::Serving {
                Duration::MAX
            } else {
                STOP_SILENCE
            };
            let request = tokio::select! {
                request = wire.next() => request,
                () = rest(silence) => {
                    if self.transaction.is_none() {
                        return goodbye::<P>(wire, ErrorCode::Busy).await;
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
                    return goodbye::<P>(wire, ErrorCode::Busy).await;
                }
                Request::Query { id, statement } => self.answer(wire, id, statement).await?,
                Request::Start { .. } => self.error(wire, ErrorCode::Malformed, None).await?,
                Request::Invalid(code) => self.error(wire, code, None).await?,
            }
        }
    }

    async fn answer(
        &mut self,
        wire: &mut Wire<P>,
        id: Bytes,
        statement: Statement,
    ) -> Result<(), WireError> {
        let started = clock::now();
        let running = self.node.running.clone();
        running.set(running.get() + 1);
        let result = self.statement(&id, statement).await;
        running.set(running.get() - 1);
        match result {
            Ok(Some(answer)) => {
                for row in answer.rows {
                    wire.feed(Reply::Row(row)).await?;
                }
                wire.feed(Reply::Complete(Some(answer.proof))).await?;
                self.node
                    .metrics
                    .answered(&self.database, clock::now().saturating_sub(started));
            }
            Ok(None) => wire.feed(Reply::Complete(None)).await?,
            Err(error) => {
                let waited = clock::now().saturating_sub(started);
                self.refused(&id, &error, waited);
                return self.error(wire, error.code, Some(error.cause)).await;
            }
        }
        wire.send(ready(self.state)).await
    }

    fn refused(&self, id: &Bytes, error: &Failure, waited: Duration) {
        let id = String::from_utf8_lossy(id);
        let waited = waited.as_millis() as u64;
        let (code, cause) = (error.code, error.cause);
        self.node.metrics.refused(&self.database, error);
        let database = &self.database;
        tracing::info!(event = 661, %id, database, ?code, ?cause, waited, "statement failed");
    }

    async fn error(
        &mut self,
        wire: &mut Wire<P>,
        code: ErrorCode,
        cause: Option<Cause>,
    ) -> Result<(), WireError> {
        if self.state != TransactionState::Idle && self.transaction.is_some() {
            self.state = TransactionState::Failed;
        }
        let text = Bytes::from(cause.map_or_else(|| "not valid".to_owned(), |c| format!("{c:?}")));
        wire.feed(Reply::Error { code, text }).await?;
        wire.send(ready(self.state)).await
    }

    /// Runs a statement. `None` is success of a statement that the proxy answers itself.
    async fn statement(
        &mut self,
        id: &Bytes,
        statement: Statement,
    ) -> Result<Option<Answer>, Failure> {
        let malformed = || failure(ErrorCode::Malformed, Cause::Member);
        match (self.state, statement) {
            (TransactionState::Failed, Statement::Rollback) => {
                self.end();
                Ok(None)
            }
            (TransactionState::Failed, Statement::Commit) => {
                self.end();
                Err(failure(ErrorCode::Aborted, Cause::Member))
            }
            (TransactionState::Failed, _) => Err(malformed()),
            (TransactionState::Idle, Statement::Begin { read_only }) => {
                let route = self.route()?;
                self.transaction = Some(Transaction {
                    read_only,
                    route: Rc::new(route),
                    channel: None,
                    rested: clock::now(),
                });
                self.state = TransactionState::Open;
                Ok(None)
            }
            (TransactionState::Open, Statement::Rollback) => {
                self.end();
                Ok(None)
            }
            (TransactionState::Open, Statement::Commit) => {
                let result = self.run_work(id, Work::Commit).await;
                self.end();
                result.map(Some)
            }
            (TransactionState::Open, Statement::Begin { .. })
            | (TransactionState::Idle, Statement::Commit | Statement::Rollback) => Err(malformed()),
            (_, Statement::Set { name, value }) => {
                self.set(name, value);
                Ok(None)
            }
            (
                _,
                Statement::Prepare {
                    name,
                    access,
                    shape,
                },
            ) => {
                self.prepared.insert(name, (access, shape));
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
                let (access, shape) =
                    known.ok_or(failure(ErrorCode::NoStatement, Cause::Member))?;
                let work = Work::Execute {
                    access,
                    shape,
                    arguments,
                };
                self.run_work(id, work).await.map(Some)
            }
        }
    }

    fn end(&mut self) {
        self.transaction = None;
        self.state = TransactionState::Idle;
    }

    fn set(&mut self, name: Bytes, value: Bytes) {
        match self.values.binary_search_by(|v| v.0.cmp(&name)) {
            Ok(index) => self.values[index].1 = value,
            Err(index) => self.values.insert(index, (name, value)),
        }
    }

    async fn run_work(&mut self, id: &Bytes, work: Work) -> Result<Answer, Failure> {
        let organisation = self.organisation()?;
        let read_only = self.transaction.as_ref().map(|t| t.read_only);
        let begun = self
            .transaction
            .as_ref()
            .is_some_and(|t| t.channel.is_some());
        let route = match &self.transaction {
            Some(transaction) => transaction.route.clone(),
            None => Rc::new(self.route()?),
        };
        let durable = matches!(work, Work::Commit) || (read_only.is_none() && work.writes());
        let job = Job {
            id: id.clone(),
            work,
            values: self.values.clone(),
            timeout: route.timeout,
        };
        let answer = if begun {
            self.next_job(job).await?
        } else {
            if organisation != ANONYMOUS && !self.node.quota.take(&self.node, &organisation).await {
                return Err(failure(ErrorCode::Busy, Cause::Rate));
            }
            let configuration = self.configuration()?;
            let anywhere = RegionLimit::default();
            let regions = configuration.regions.get(&organisation);
            let opening = Opening {
                regions: regions.unwrap_or(&anywhere),
                route: &route,
                organisation: &organisation,
                transaction: read_only,
                own: self.own,
                job,
            };
            let (answer, channel) = dispatch::open(&self.node, opening).await?;
            if let Some(transaction) = &mut self.transaction {
                transaction.channel = Some(channel);
            }
            answer
        };
        if durable && let Some(position) = answer.position {
            self.own = self.own.max(Some(position));
        }
        if let Some(transaction) = &mut self.transaction {
            transaction.rested = clock::now();
        }
        Ok(answer)
    }

    async fn next_job(&mut self, job: Job) -> Outcome {
        let channel = self.transaction.as_ref().and_then(|t| t.channel.as_ref());
        let Some(channel) = channel else {
            return Err(failure(ErrorCode::Aborted, Cause::Idle));
        };
        let outcome = channel_handle::outcome(channel.handle.send(job)).await;
        if outcome.is_err()
            && let Some(transaction) = &mut self.transaction
        {
            // The connection is free again while the client has yet to end the transaction.
            transaction.channel = None;
        }
        outcome
    }

    /// Whether the session may be opened.
    fn admitted(&self) -> Result<(), ErrorCode> {
        self.route().map_err(|f| f.code)?;
        self.organisation().map_err(|f| f.code)?;
        Ok(())
    }

    fn configuration(&self) -> Result<Rc<Configuration>, Failure> {
        let configuration = self.node.configuration();
        configuration.ok_or(failure(ErrorCode::Busy, Cause::Stale))
    }

    fn route(&self) -> Result<Route, Failure> {
        let configuration = self.configuration()?;
        let route = configuration.routes.get(&self.database);
        route
            .cloned()
            .ok_or(failure(ErrorCode::NoDatabase, Cause::Member))
    }

    /// The organisation of the session's key, as the configuration says now.
    fn organisation(&self) -> Result<OrganisationId, Failure> {
        let configuration = self.configuration()?;
        let anonymous = configuration
            .routes
            .get(&self.database)
            .is_some_and(|r| r.anonymous);
        if self.key.is_empty() && anonymous {
            return Ok(ANONYMOUS.to_owned());
        }
        if !self.node.keys_trusted() {
            return Err(failure(ErrorCode::Busy, Cause::Stale));
        }
        match configuration.keys.get(&self.key) {
            Some(organisation) => Ok(organisation.clone()),
            None if anonymous => Ok(ANONYMOUS.to_owned()),
            None => Err(failure(ErrorCode::Unauthorized, Cause::Member)),
        }
    }
}

/// Sleeps, or never ends for the longest duration.
async fn rest(time: Duration) {
    if time == Duration::MAX {
        std::future::pending().await
    } else {
        tokio::time::sleep(time).await;
    }
}

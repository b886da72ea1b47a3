//! A caller's session, which keeps its session token across connections to different hosts.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use rand::Rng;
use rand::rngs::StdRng;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::history::operation::Operation;
use crate::history::operation::RowId;
use crate::history::operation::RowKey;
use crate::history::outcome::Outcome;
use crate::history::record::Record;
use crate::history::record::SessionId;
use crate::load::attempt;
use crate::load::attempt::Attempt;
use crate::load::attempt::Request;
use crate::load::connection::Connection;
use crate::load::failure::Failure;
use crate::load::organisation::OrganisationPlan;
use crate::load::sample::FailedAttempt;
use crate::load::sample::OperationKind;
use crate::load::sample::Sample;
use crate::load::statement;
use crate::load::target::Caller;
use crate::load::target::EntryHost;
use crate::load::token_bucket::TokenBucket;

/// Rows with the same key; bounds the number of rows that a read returns.
const ROWS_PER_KEY: u64 = 16;
/// Size of the range of keys reserved for each session.
const KEYS_PER_SESSION: u64 = 1_000_000;
/// Size of the range of row ids reserved for each session.
const ROWS_PER_SESSION: u64 = 10_000_000;
/// Fraction of reads that select a random key of the organisation instead of the session's own.
const FOREIGN_READ_SHARE: f64 = 0.2;
/// Fraction of transactions that the caller rolls back.
const ROLLBACK_SHARE: f64 = 0.1;
/// Connections tried, each to another host if there are several, before an attempt fails.
const MAX_HOSTS_TRIED: usize = 3;
/// SQLSTATE cannot_connect_now, sent by a host that is draining or knows no primary. Another host
/// may be able to serve the caller.
const CANNOT_CONNECT_NOW: &str = "57P03";

/// An operation that is due.
#[derive(Debug, Clone, Copy)]
pub struct DueOperation {
    pub at: Duration,
    /// Whether the operation was due inside the organisation's contract.
    pub inside: bool,
    pub kind: OperationKind,
}

/// State shared by the sessions of one organisation and database.
#[derive(Debug)]
pub struct SessionContext {
    pub plan: OrganisationPlan,
    pub organisation: usize,
    pub database: usize,
    pub caller: Caller,
    /// Addresses of the hosts' links in the fault proxy, which stay the same when a host restarts.
    pub entries: Arc<Vec<EntryHost>>,
    pub start: Instant,
    pub deadline: Duration,
    /// Tracks whether the attempts sent so far are inside the contract.
    pub sent_bucket: Arc<Mutex<TokenBucket>>,
    /// Keys under which rows were written, for reads by other sessions.
    pub keys: Mutex<Vec<RowKey>>,
    pub results: mpsc::UnboundedSender<(Option<Record>, Sample)>,
}

/// One caller's session.
#[derive(Debug)]
pub struct Session {
    context: Arc<SessionContext>,
    number: SessionId,
    random: StdRng,
    host_index: usize,
    connection: Option<Connection>,
    token: Option<String>,
    rows_written: u64,
}

impl Session {
    /// A session without a connection; its first operation connects.
    pub fn new(context: Arc<SessionContext>, number: SessionId, mut random: StdRng) -> Self {
        let host_index = random.random_range(0..usize::MAX);
        Self {
            context,
            number,
            random,
            host_index,
            connection: None,
            token: None,
            rows_written: 0,
        }
    }

    /// Performs operations until the queue is closed and empty.
    pub async fn run(
        mut self,
        queue: Arc<tokio::sync::Mutex<mpsc::UnboundedReceiver<DueOperation>>>,
    ) {
        loop {
            let due = queue.lock().await.recv().await;
            match due {
                Some(due) if self.is_overdue(due) => self.abandon(due),
                Some(due) => self.perform(due).await,
                None => break,
            }
        }
        if let Some(connection) = self.connection.take() {
            connection.close().await;
        }
    }

    fn is_overdue(&self, due: DueOperation) -> bool {
        let patience = Duration::from_millis(self.context.plan.patience_ms);
        self.context.start.elapsed() > due.at + patience
    }

    fn abandon(&self, due: DueOperation) {
        let sample = Sample {
            organisation: self.context.organisation,
            database: self.context.database,
            kind: due.kind,
            intended: due.at,
            answered: self.context.start.elapsed(),
            outcome: Outcome::NotRun,
            served: false,
            inside: due.inside,
            statements: due.kind.statements(),
            failures: Vec::new(),
        };
        let _ = self.context.results.send((None, sample));
    }

    async fn perform(&mut self, due: DueOperation) {
        let context = Arc::clone(&self.context);
        if self.random.random_bool(context.plan.roam) {
            self.disconnect().await;
        }
        let request = self.next_request(due.kind);
        let statements = due.kind.statements();
        let invoked = context.start.elapsed();
        let mut failures = Vec::new();
        let mut attempts = 0;
        // Once an attempt has an unknown outcome, a later refusal does not prove that the operation
        // did not run.
        let mut unknown = false;
        let (attempt, answered) = loop {
            let inside = lock(&context.sent_bucket).try_take(context.start.elapsed(), statements);
            let attempt = self.attempt(due.kind, &request).await;
            let answered = context.start.elapsed();
            if let Err(failure) = &attempt.result {
                failures.push(FailedAttempt {
                    code: failure.code().to_owned(),
                    outcome: attempt.outcome,
                    refused: matches!(failure, Failure::Refused { .. }),
                    inside,
                });
            }
            unknown |= attempt.outcome == Outcome::Unknown;
            let retry = &context.plan.retry;
            let repeatable = match attempt.outcome {
                Outcome::Ran => false,
                Outcome::NotRun => attempt.result.is_err(),
                Outcome::Unknown => due.kind == OperationKind::Read || request.request_id.is_some(),
            };
            if !repeatable || attempts == retry.attempts {
                break (attempt, answered);
            }
            attempts += 1;
            sleep(Duration::from_millis(retry.wait_ms)).await;
        };
        let outcome = match attempt.outcome {
            Outcome::NotRun if unknown => Outcome::Unknown,
            outcome => outcome,
        };
        let served = attempt.result.is_ok();
        let operation = match due.kind {
            OperationKind::Read => Operation::Read {
                key: request.key,
                rows: attempt.result.unwrap_or_default(),
            },
            OperationKind::Write | OperationKind::Transaction => Operation::Write {
                key: request.key,
                rows: request.rows,
                commit: attempt.commit.map(micros),
            },
        };
        let record = Record {
            session: self.number,
            host: self.entry().host,
            organisation: context.plan.name.clone(),
            database: context.caller.route.clone(),
            operation,
            statements: due.kind.data_statements(),
            invoked: micros(invoked),
            answered: micros(answered),
            outcome,
        };
        let sample = Sample {
            organisation: context.organisation,
            database: context.database,
            kind: due.kind,
            intended: due.at,
            answered,
            outcome,
            served,
            inside: due.inside,
            statements,
            failures,
        };
        // Sending fails only if the run was aborted; otherwise the receiver outlives the sessions.
        let _ = context.results.send((Some(record), sample));
    }

    fn next_request(&mut self, kind: OperationKind) -> Request {
        let own_key = self.number * KEYS_PER_SESSION + self.rows_written / ROWS_PER_KEY;
        if kind == OperationKind::Read {
            let use_foreign_key = self.random.random_bool(FOREIGN_READ_SHARE);
            let keys = lock(&self.context.keys);
            let key = match keys.len() {
                0 => own_key,
                _ if !use_foreign_key => own_key,
                count => keys[self.random.random_range(0..count)],
            };
            return Request {
                organisation: self.context.plan.name.clone(),
                key,
                rows: Vec::new(),
                rollback: false,
                request_id: None,
            };
        }
        let count = if kind == OperationKind::Transaction {
            2
        } else {
            1
        };
        let rows: Vec<RowId> = (0..count)
            .map(|n| self.number * ROWS_PER_SESSION + self.rows_written + n)
            .collect();
        if self.rows_written.is_multiple_of(ROWS_PER_KEY) {
            lock(&self.context.keys).push(own_key);
        }
        self.rows_written += count;
        // A request id makes a single statement idempotent, so transactions cannot use one.
        let idempotent = self.context.plan.retry.request_id && kind == OperationKind::Write;
        Request {
            organisation: self.context.plan.name.clone(),
            key: own_key,
            request_id: idempotent.then(|| format!("bench-{}", rows[0])),
            rows,
            rollback: kind == OperationKind::Transaction && self.random.random_bool(ROLLBACK_SHARE),
        }
    }

    async fn attempt(&mut self, kind: OperationKind, request: &Request) -> Attempt {
        let mut connection = match self.connect().await {
            Ok(connection) => connection,
            Err(failure) => {
                return Attempt::not_sent(failure);
            }
        };
        let limit = self.context.deadline;
        let attempt = match kind {
            OperationKind::Read => attempt::read(&mut connection, request, limit).await,
            OperationKind::Write => attempt::write(&mut connection, request, limit).await,
            OperationKind::Transaction => {
                let now = || self.context.start.elapsed();
                attempt::transaction(&mut connection, request, limit, now).await
            }
        };
        if let Some(token) = connection.token() {
            self.token = Some(token.to_owned());
        }
        let keep = match &attempt.result {
            Ok(_) => true,
            Err(failure) => failure.connection_usable() && failure.code() != CANNOT_CONNECT_NOW,
        };
        if keep && connection.idle() {
            self.connection = Some(connection);
        } else {
            drop(connection);
            self.select_other_host();
        }
        attempt
    }

    async fn connect(&mut self) -> Result<Connection, Failure> {
        if let Some(mut connection) = self.connection.take() {
            if connection.is_open() {
                return Ok(connection);
            }
            self.select_other_host();
        }
        let mut result = self.open().await;
        for _ in 1..MAX_HOSTS_TRIED {
            if result.is_ok() {
                break;
            }
            self.select_other_host();
            result = self.open().await;
        }
        result
    }

    async fn open(&self) -> Result<Connection, Failure> {
        let limit = self.context.deadline;
        let entry = self.entry();
        let mut connection =
            Connection::open(entry.sql_address, &self.context.caller, None, limit).await?;
        if let Some(token) = &self.token {
            connection
                .query(&statement::set_token(token), limit)
                .await?;
        }
        Ok(connection)
    }

    fn entry(&self) -> EntryHost {
        let entries = &self.context.entries;
        entries[self.host_index % entries.len()].clone()
    }

    async fn disconnect(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.close().await;
        }
        self.select_other_host();
    }

    /// Selects another host at random for the next connection.
    fn select_other_host(&mut self) {
        let count = self.context.entries.len();
        if count > 1 {
            self.host_index = self.host_index % count + self.random.random_range(1..count);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

//! One caller's session, which keeps its token while it moves between hosts.

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
use crate::history::record::SessionNumber;
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
use crate::load::target::Entry;
use crate::load::token_bucket::TokenBucket;

/// Rows of one key, which bounds the size of a read's answer.
const KEY_ROWS: u64 = 16;
/// Keys of one session.
const KEYS: u64 = 1_000_000;
/// Rows of one session.
const ROWS: u64 = 10_000_000;
/// Share of reads that select a key of another session of the organisation.
const FOREIGN_READS: f64 = 0.2;
/// Share of transactions that the caller rolls back.
const ROLLBACKS: f64 = 0.1;
/// Hosts tried before an operation fails for lack of a connection.
const HOSTS_TRIED: usize = 3;
/// FailedAttempt of a host that is draining or knows no primary: another host may do better.
const UNAVAILABLE: &str = "57P03";

/// An operation that is due.
#[derive(Debug, Clone, Copy)]
pub struct DueOperation {
    pub at: Duration,
    /// Whether the organisation's arrivals were inside its contract.
    pub inside: bool,
    pub kind: OperationKind,
}

/// What the sessions of one organisation and database share.
#[derive(Debug)]
pub struct Shared {
    pub plan: OrganisationPlan,
    pub organisation: usize,
    pub database: usize,
    pub caller: Caller,
    /// Links to the hosts; a host that starts again keeps its link.
    pub entries: Arc<Vec<Entry>>,
    pub start: Instant,
    pub deadline: Duration,
    /// Load that was sent, against the contract.
    pub sent: Arc<Mutex<TokenBucket>>,
    /// Keys in use.
    pub keys: Mutex<Vec<RowKey>>,
    pub results: mpsc::UnboundedSender<(Option<Record>, Sample)>,
}

/// One caller's session.
#[derive(Debug)]
pub struct Session {
    shared: Arc<Shared>,
    number: SessionNumber,
    random: StdRng,
    host: usize,
    connection: Option<Connection>,
    token: Option<String>,
    rows: u64,
}

impl Session {
    /// A session without a connection; its first operation connects.
    pub fn new(shared: Arc<Shared>, number: SessionNumber, mut random: StdRng) -> Self {
        let host = random.random_range(0..usize::MAX);
        Self {
            shared,
            number,
            random,
            host,
            connection: None,
            token: None,
            rows: 0,
        }
    }

    /// Performs operations until the queue ends.
    pub async fn run(
        mut self,
        queue: Arc<tokio::sync::Mutex<mpsc::UnboundedReceiver<DueOperation>>>,
    ) {
        loop {
            let due = queue.lock().await.recv().await;
            match due {
                Some(due) if self.is_late(due) => self.give_up(due),
                Some(due) => self.perform(due).await,
                None => break,
            }
        }
        if let Some(connection) = self.connection.take() {
            connection.close().await;
        }
    }

    fn is_late(&self, due: DueOperation) -> bool {
        let patience = Duration::from_millis(self.shared.plan.patience_ms);
        self.shared.start.elapsed() > due.at + patience
    }

    fn give_up(&self, due: DueOperation) {
        let sample = Sample {
            organisation: self.shared.organisation,
            database: self.shared.database,
            kind: due.kind,
            intended: due.at,
            answered: self.shared.start.elapsed(),
            outcome: Outcome::NotRun,
            served: false,
            inside: due.inside,
            statements: due.kind.statements(),
            failures: Vec::new(),
        };
        let _ = self.shared.results.send((None, sample));
    }

    async fn perform(&mut self, due: DueOperation) {
        let shared = Arc::clone(&self.shared);
        if self.random.random_bool(shared.plan.roam) {
            self.leave().await;
        }
        let request = self.request(due.kind);
        let statements = due.kind.statements();
        let invoked = shared.start.elapsed();
        let mut failures = Vec::new();
        let mut attempts = 0;
        // Once an attempt may have run, a later refusal does not show that none has.
        let mut unknown = false;
        let (attempt, answered) = loop {
            let inside = lock(&shared.sent).try_take(shared.start.elapsed(), statements);
            let attempt = self.attempt(due.kind, &request).await;
            let answered = shared.start.elapsed();
            if let Err(failure) = &attempt.result {
                failures.push(FailedAttempt {
                    code: failure.code().to_owned(),
                    outcome: attempt.outcome,
                    refused: matches!(failure, Failure::Refused { .. }),
                    inside,
                });
            }
            unknown |= attempt.outcome == Outcome::Unknown;
            let retry = &shared.plan.retry;
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
            organisation: shared.plan.name.clone(),
            database: shared.caller.route.clone(),
            operation,
            statements: due.kind.data_statements(),
            invoked: micros(invoked),
            answered: micros(answered),
            outcome,
        };
        let sample = Sample {
            organisation: shared.organisation,
            database: shared.database,
            kind: due.kind,
            intended: due.at,
            answered,
            outcome,
            served,
            inside: due.inside,
            statements,
            failures,
        };
        // The receiver outlives the sessions; it ends early only when the run is given up.
        let _ = shared.results.send((Some(record), sample));
    }

    fn request(&mut self, kind: OperationKind) -> Request {
        let own = self.number * KEYS + self.rows / KEY_ROWS;
        if kind == OperationKind::Read {
            let foreign = self.random.random_bool(FOREIGN_READS);
            let keys = lock(&self.shared.keys);
            let key = match keys.len() {
                0 => own,
                _ if !foreign => own,
                count => keys[self.random.random_range(0..count)],
            };
            return Request {
                organisation: self.shared.plan.name.clone(),
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
            .map(|n| self.number * ROWS + self.rows + n)
            .collect();
        if self.rows.is_multiple_of(KEY_ROWS) {
            lock(&self.shared.keys).push(own);
        }
        self.rows += count;
        // A request id covers one statement, so transactions have none.
        let idempotent = self.shared.plan.retry.request_id && kind == OperationKind::Write;
        Request {
            organisation: self.shared.plan.name.clone(),
            key: own,
            request_id: idempotent.then(|| format!("bench-{}", rows[0])),
            rows,
            rollback: kind == OperationKind::Transaction && self.random.random_bool(ROLLBACKS),
        }
    }

    async fn attempt(&mut self, kind: OperationKind, request: &Request) -> Attempt {
        let mut connection = match self.connect().await {
            Ok(connection) => connection,
            Err(failure) => {
                return Attempt::not_sent(failure);
            }
        };
        let limit = self.shared.deadline;
        let attempt = match kind {
            OperationKind::Read => attempt::read(&mut connection, request, limit).await,
            OperationKind::Write => attempt::write(&mut connection, request, limit).await,
            OperationKind::Transaction => {
                let now = || self.shared.start.elapsed();
                attempt::transaction(&mut connection, request, limit, now).await
            }
        };
        if let Some(token) = connection.token() {
            self.token = Some(token.to_owned());
        }
        let keep = match &attempt.result {
            Ok(_) => true,
            Err(failure) => failure.connection_usable() && failure.code() != UNAVAILABLE,
        };
        if keep && connection.idle() {
            self.connection = Some(connection);
        } else {
            drop(connection);
            self.move_on();
        }
        attempt
    }

    async fn connect(&mut self) -> Result<Connection, Failure> {
        if let Some(mut connection) = self.connection.take() {
            if connection.is_open() {
                return Ok(connection);
            }
            self.move_on();
        }
        let mut result = self.open().await;
        for _ in 1..HOSTS_TRIED {
            if result.is_ok() {
                break;
            }
            self.move_on();
            result = self.open().await;
        }
        result
    }

    async fn open(&self) -> Result<Connection, Failure> {
        let limit = self.shared.deadline;
        let entry = self.entry();
        let mut connection = Connection::open(entry.sql, &self.shared.caller, None, limit).await?;
        if let Some(token) = &self.token {
            connection
                .query(&statement::set_token(token), limit)
                .await?;
        }
        Ok(connection)
    }

    fn entry(&self) -> Entry {
        let entries = &self.shared.entries;
        entries[self.host % entries.len()].clone()
    }

    async fn leave(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.close().await;
        }
        self.move_on();
    }

    /// Uses another host from now on.
    fn move_on(&mut self) {
        let count = self.shared.entries.len();
        if count > 1 {
            self.host = self.host % count + self.random.random_range(1..count);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

//! Requests with an id, which run at most once even if they are sent several times.
//!
//! The id is stored as a row in the database, in the same transaction as the request. The table
//! belongs to the data user, so that organisations cannot see each other's ids.

use std::time::Instant;

use magnoliahatch_core::class::Class;
use magnoliahatch_core::confirm::Verdict;
use magnoliahatch_core::outcome::Outcome;
use magnoliahatch_core::session::TxStatus;

use crate::front::exchange::query;
use crate::front::execute::Attempt;
use crate::front::execute::Failure;
use crate::front::execute::PAUSE;
use crate::front::execute::REPEATS;
use crate::front::execute::Work;
use crate::front::recorded;
use crate::front::refusal::Refusal;
use crate::front::relay::RelayError;
use crate::front::session::End;
use crate::front::session::Session;
use crate::pool::member_pool::AcquireError;
use crate::pool::open_error::OpenError;
use crate::pool::pooled_connection::PooledConnection;

const TABLE: &str = "magnoliahatch_requests";
const UNIQUE_VIOLATION: &str = "23505";
const UNDEFINED_TABLE: &str = "42P01";

/// How a request uses the session's request id.
pub(crate) enum UseOfId {
    /// A write outside a transaction, which the proxy wraps in one.
    Wrap,
    /// COMMIT of the client's transaction.
    WithCommit,
    /// The id is used by a later request.
    Later,
}

/// Why one attempt of a request with an id did not complete.
enum Setback {
    /// The request did not run.
    NotRun(OpenError),
    /// COMMIT was sent, and its outcome is unknown.
    Unknown(String),
    Failure(Failure),
}

impl<F: Into<Failure>> From<F> for Setback {
    fn from(failure: F) -> Self {
        Self::Failure(failure.into())
    }
}

impl Session {
    /// Determines how a request uses the session's request id. Refuses requests for which the proxy
    /// cannot guarantee that they run at most once.
    pub(crate) fn use_of_id(&self, work: &Work, to_ready: bool) -> Result<UseOfId, Refusal> {
        let classes = work.classes();
        let plain = |class: &Class| matches!(class, Class::Read | Class::Write);
        match (self.state.status, classes) {
            (TxStatus::Open, [Class::Commit]) => Ok(UseOfId::WithCommit),
            (TxStatus::Open | TxStatus::Failed, _) => Ok(UseOfId::Later),
            (TxStatus::Idle, _) if !classes.contains(&Class::Write) => Ok(UseOfId::Later),
            // The id of a transaction that stays open is recorded with its COMMIT.
            (TxStatus::Idle, [Class::Begin { .. }, rest @ ..]) if rest.iter().all(plain) => {
                Ok(UseOfId::Later)
            }
            (TxStatus::Idle, _) if classes.iter().all(plain) && to_ready && !self.unsynced => {
                Ok(UseOfId::Wrap)
            }
            _ => Err(Refusal::Unsupported {
                statement: "a request id for several transactions in one message",
                alternative: "send one transaction after each SET magnoliahatch.request_id",
            }),
        }
    }

    /// Runs a write in its own transaction, which also records the id. If the outcome is unknown,
    /// the request is retried while time remains; the id prevents it from running twice.
    pub(crate) async fn run_once(
        &mut self,
        work: &Work,
        id: &str,
        attempt: &mut Attempt,
    ) -> Result<(), Failure> {
        self.request_id = None;
        attempt.replica = false;
        let mut tries = 0;
        loop {
            tries += 1;
            let pooled = self.acquire_connection(attempt).await?;
            let setback = match self.try_once(pooled, work, id, attempt).await {
                Ok(()) => return Ok(()),
                Err(setback) => setback,
            };
            let time = !attempt.progress.relayed && Instant::now() + PAUSE < attempt.deadline;
            let again = time && tries < REPEATS;
            match setback {
                Setback::NotRun(error) if time && is_passing(&error) => {
                    tokio::time::sleep(PAUSE).await;
                }
                Setback::NotRun(_) | Setback::Unknown(_) if again => {
                    tokio::time::sleep(PAUSE).await;
                }
                Setback::Failure(Failure::Refused(Refusal::Unconfirmed)) if again => {}
                Setback::NotRun(error) => return Err(Refusal::NotRecorded(error).into()),
                Setback::Unknown(cause) => {
                    let outcome = Outcome::Unknown;
                    return Err(Refusal::Lost { cause, outcome }.into());
                }
                Setback::Failure(failure) => return Err(failure),
            }
        }
    }

    async fn try_once(
        &mut self,
        mut pooled: PooledConnection,
        work: &Work,
        id: &str,
        attempt: &mut Attempt,
    ) -> Result<(), Setback> {
        let needs = self.needs(&mut pooled);
        let prepared = self.prepare(&mut pooled, &needs).await;
        prepared.map_err(Setback::NotRun)?;
        let begin = format!("BEGIN; {}", self.insert(id));
        let sent = Instant::now();
        let (mut script, mut relay) = self.compose(&mut pooled, work, &[], attempt);
        relay.record(recorded::ANSWER_LIMIT);
        let before = Some(begin.as_str());
        let exchange = self.exchange(&mut pooled, &mut script, &mut relay, attempt, before);
        let exchanged = exchange.await;
        attempt.progress.relayed = relay.relayed;
        match exchanged {
            Ok(_) => {}
            Err(RelayError::Before(error)) => {
                let link = &mut pooled.connection().link;
                script
                    .parsed
                    .iter()
                    .for_each(|name| link.remove_statement(name));
                if script.closes {
                    link.taint();
                }
                if has_code(&error, UNIQUE_VIOLATION) {
                    return self.answer_again(pooled, work, id, attempt).await;
                }
                if matches!(error, OpenError::Timeout) {
                    pooled.pool().on_silence(sent);
                }
                if has_code(&error, UNDEFINED_TABLE) {
                    self.end_transaction(&mut pooled).await?;
                    self.create_table(&mut pooled).await?;
                }
                return Err(Setback::NotRun(error));
            }
            Err(RelayError::Client(_)) => return Err(Failure::End(End::Closed).into()),
            Err(error) => {
                if matches!(error, RelayError::Timeout) {
                    pooled.pool().on_silence(sent);
                }
                let cause = std::io::Error::other(error.to_string());
                return Err(Setback::NotRun(OpenError::Connect(cause)));
            }
        }
        if relay.error.is_some() {
            self.end_transaction(&mut pooled).await?;
        } else {
            let answer = recorded::encode(work, relay.recorded());
            let commit = format!("{}; COMMIT", self.update(id, &answer));
            match query(&mut pooled, &commit).await {
                Ok(_) => {}
                Err(error @ OpenError::Refused { .. }) => return Err(Setback::NotRun(error)),
                Err(error) => return Err(Setback::Unknown(error.to_string())),
            }
        }
        self.settle(&mut pooled, &script, &relay, 0, TxStatus::Idle);
        let status = Some(TxStatus::Idle);
        Ok(self.finish(pooled, relay, status, sent, attempt).await?)
    }

    /// Answers a request that has already run with its recorded answer.
    async fn answer_again(
        &mut self,
        mut pooled: PooledConnection,
        work: &Work,
        id: &str,
        attempt: &Attempt,
    ) -> Result<(), Setback> {
        self.end_transaction(&mut pooled).await?;
        let select = format!("SELECT answer FROM {TABLE} WHERE {}", self.row(id));
        let rows = query(&mut pooled, &self.as_owner(&select)).await;
        let rows = rows.map_err(Setback::NotRun)?;
        let position = pooled.connection().position;
        let awaited = position.map(|position| pooled.confirmed_as(position));
        pooled.return_to_pool(TxStatus::Idle);
        let confirmer = &attempt.database.confirmer;
        let position = position.ok_or(Refusal::Unconfirmed)?;
        let awaited = awaited.unwrap_or(position);
        if confirmer.wait(awaited, attempt.deadline).await != Verdict::Confirmed {
            return Err(Refusal::Unconfirmed.into());
        }
        self.saw(position);
        self.context.metrics.count("requests_answered_again");
        let text = rows.into_iter().flatten().flatten().next();
        let frames = text.and_then(|text| recorded::replay(work, &text));
        let frames = frames.ok_or_else(|| Refusal::AlreadyRan(id.to_owned()))?;
        Ok(self.answer(frames, true).await?)
    }

    /// Records the id in the client's open transaction, before its COMMIT is sent.
    pub(crate) async fn record_commit(
        &mut self,
        id: &str,
        attempt: &Attempt,
    ) -> Result<(), Failure> {
        self.request_id = None;
        let insert = self.insert(id);
        let Some(pooled) = &mut self.pooled else {
            return Ok(());
        };
        let Err(error) = query(pooled, &insert).await else {
            return Ok(());
        };
        // For the client, this COMMIT ends the transaction whether or not it succeeds.
        self.abandon().await;
        if has_code(&error, UNIQUE_VIOLATION) {
            return Err(Refusal::AlreadyRan(id.to_owned()).into());
        }
        if has_code(&error, UNDEFINED_TABLE) {
            let pool = attempt.database.primary(0, attempt.deadline).await;
            let (pool, _primary) = pool.ok_or(Refusal::NoPrimary)?;
            let organisation = &self.identity.organisation;
            let mut pooled = pool.acquire(organisation, attempt.deadline).await?;
            let needs = self.needs(&mut pooled);
            let prepared = self.prepare(&mut pooled, &needs).await;
            prepared.map_err(AcquireError::Open)?;
            // This transaction is reported as not run; its retry will find the table.
            let _ = self.create_table(&mut pooled).await;
            pooled.return_to_pool(TxStatus::Idle);
        }
        Err(Refusal::NotRecorded(error).into())
    }

    async fn create_table(&self, pooled: &mut PooledConnection) -> Result<(), Setback> {
        let create = format!(
            "CREATE TABLE IF NOT EXISTS {TABLE} (organisation TEXT NOT NULL, id TEXT NOT NULL, \
             answer TEXT NOT NULL, recorded TIMESTAMPTZ NOT NULL, PRIMARY KEY (organisation, id))"
        );
        let created = query(pooled, &self.as_owner(&create)).await;
        created.map(drop).map_err(Setback::NotRun)
    }

    async fn end_transaction(&self, pooled: &mut PooledConnection) -> Result<(), Setback> {
        let ended = query(pooled, "ROLLBACK").await;
        ended.map(drop).map_err(Setback::NotRun)
    }

    fn insert(&self, id: &str) -> String {
        let organisation = quote(&self.identity.organisation);
        let id = quote(id);
        self.as_owner(&format!(
            "INSERT INTO {TABLE} (organisation, id, answer, recorded) \
             VALUES ({organisation}, {id}, '', now())"
        ))
    }

    fn update(&self, id: &str, answer: &str) -> String {
        let answer = quote(answer);
        let row = self.row(id);
        self.as_owner(&format!("UPDATE {TABLE} SET answer = {answer} WHERE {row}"))
    }

    fn row(&self, id: &str) -> String {
        let organisation = quote(&self.identity.organisation);
        format!("organisation = {organisation} AND id = {}", quote(id))
    }

    /// Wraps a statement so that it runs as the data user.
    fn as_owner(&self, sql: &str) -> String {
        let organisation = self.identity.organisation.replace('"', "\"\"");
        format!("RESET SESSION AUTHORIZATION; {sql}; SET SESSION AUTHORIZATION \"{organisation}\"")
    }
}

fn has_code(error: &OpenError, wanted: &str) -> bool {
    matches!(error, OpenError::Refused { code, .. } if code == wanted)
}

/// Whether an error is transient: the member is read-only or shutting down until a new primary is
/// known, or the transaction had a serialization conflict.
fn is_passing(error: &OpenError) -> bool {
    matches!(error, OpenError::Refused { code, .. }
        if matches!(code.as_str(), "25006" | "57P01" | "57P03" | "40001"))
}

fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

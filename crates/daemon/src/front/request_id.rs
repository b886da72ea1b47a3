//! Requests with an id, which run at most once even if they are sent several times.
//!
//! The id is stored as a row in the database, in the same transaction as the request. The table
//! belongs to the data user, so that organisations cannot see each other's ids.

use std::time::Instant;

use magnoliahatch_core::confirm::ConfirmationStatus;
use magnoliahatch_core::outcome::Outcome;
use magnoliahatch_core::session::TxStatus;
use magnoliahatch_core::statement_class::StatementClass;

use crate::front::exchange::query;
use crate::front::execute::Attempt;
use crate::front::execute::MAX_RETRIES;
use crate::front::execute::RETRY_DELAY;
use crate::front::execute::Request;
use crate::front::execute::RequestError;
use crate::front::recorded_answer;
use crate::front::refusal::Refusal;
use crate::front::relay::RelayError;
use crate::front::session::Session;
use crate::front::session::SessionEnd;
use crate::pool::member_pool::AcquireError;
use crate::pool::open_error::OpenError;
use crate::pool::pooled_connection::PooledConnection;

const TABLE: &str = "magnoliahatch_requests";
const UNIQUE_VIOLATION: &str = "23505";
const UNDEFINED_TABLE: &str = "42P01";

/// How a request uses the session's request id.
pub(crate) enum RequestIdUse {
    /// A write outside a transaction, which the proxy wraps in one.
    Wrap,
    /// COMMIT of the client's transaction.
    WithCommit,
    /// The id is used by a later request.
    Later,
}

/// Why one attempt of a request with an id did not complete.
enum AttemptError {
    /// The request did not run.
    NotRun(OpenError),
    /// COMMIT was sent, and its outcome is unknown.
    Unknown(String),
    Failed(RequestError),
}

impl<F: Into<RequestError>> From<F> for AttemptError {
    fn from(failure: F) -> Self {
        Self::Failed(failure.into())
    }
}

impl Session {
    /// Determines how a request uses the session's request id. Refuses requests for which the proxy
    /// cannot guarantee that they run at most once.
    pub(crate) fn request_id_use(
        &self,
        request: &Request,
        to_ready: bool,
    ) -> Result<RequestIdUse, Refusal> {
        let classes = request.classes();
        let plain =
            |class: &StatementClass| matches!(class, StatementClass::Read | StatementClass::Write);
        match (self.state.status, classes) {
            (TxStatus::Open, [StatementClass::Commit]) => Ok(RequestIdUse::WithCommit),
            (TxStatus::Open | TxStatus::Failed, _) => Ok(RequestIdUse::Later),
            (TxStatus::Idle, _) if !classes.contains(&StatementClass::Write) => {
                Ok(RequestIdUse::Later)
            }
            // The id of a transaction that stays open is recorded with its COMMIT.
            (TxStatus::Idle, [StatementClass::Begin { .. }, rest @ ..])
                if rest.iter().all(plain) =>
            {
                Ok(RequestIdUse::Later)
            }
            (TxStatus::Idle, _) if classes.iter().all(plain) && to_ready && !self.unsynced => {
                Ok(RequestIdUse::Wrap)
            }
            _ => Err(Refusal::Unsupported {
                statement: "a request id for several transactions in one message",
                alternative: "send one transaction after each SET magnoliahatch.request_id",
            }),
        }
    }

    /// Runs a write in its own transaction, which also records the id. If the outcome is unknown,
    /// the request is retried while time remains; the id prevents it from running twice.
    pub(crate) async fn run_with_request_id(
        &mut self,
        request: &Request,
        id: &str,
        attempt: &mut Attempt,
    ) -> Result<(), RequestError> {
        self.request_id = None;
        attempt.replica = false;
        let mut attempts = 0;
        loop {
            attempts += 1;
            let pooled = self.acquire_connection(attempt).await?;
            let error = match self
                .attempt_with_request_id(pooled, request, id, attempt)
                .await
            {
                Ok(()) => return Ok(()),
                Err(error) => error,
            };
            let time_left =
                !attempt.progress.relayed && Instant::now() + RETRY_DELAY < attempt.deadline;
            let again = time_left && attempts < MAX_RETRIES;
            match error {
                AttemptError::NotRun(error) if time_left && is_transient(&error) => {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                AttemptError::NotRun(_) | AttemptError::Unknown(_) if again => {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                AttemptError::Failed(RequestError::Refused(Refusal::Unconfirmed)) if again => {}
                AttemptError::NotRun(error) => return Err(Refusal::NotRecorded(error).into()),
                AttemptError::Unknown(cause) => {
                    let outcome = Outcome::Unknown;
                    return Err(Refusal::Lost { cause, outcome }.into());
                }
                AttemptError::Failed(failure) => return Err(failure),
            }
        }
    }

    async fn attempt_with_request_id(
        &mut self,
        mut pooled: PooledConnection,
        request: &Request,
        id: &str,
        attempt: &mut Attempt,
    ) -> Result<(), AttemptError> {
        let setup = self.setup_statements(&mut pooled);
        let prepared = self.prepare(&mut pooled, &setup).await;
        prepared.map_err(AttemptError::NotRun)?;
        let begin = format!("BEGIN; {}", self.insert_statement(id));
        let sent = Instant::now();
        let (mut pipeline, mut relay) = self.compose(&mut pooled, request, &[], attempt);
        relay.record(recorded_answer::ANSWER_LIMIT);
        let before = Some(begin.as_str());
        let exchange = self.exchange(&mut pooled, &mut pipeline, &mut relay, attempt, before);
        let exchanged = exchange.await;
        attempt.progress.relayed = relay.relayed;
        match exchanged {
            Ok(_) => {}
            Err(RelayError::PrecedingStatement(error)) => {
                let connection_state = &mut pooled.connection().connection_state;
                pipeline
                    .parsed
                    .iter()
                    .for_each(|name| connection_state.remove_statement(name));
                if pipeline.closes {
                    connection_state.mark_unusable();
                }
                if has_code(&error, UNIQUE_VIOLATION) {
                    return self
                        .replay_recorded_answer(pooled, request, id, attempt)
                        .await;
                }
                if matches!(error, OpenError::Timeout) {
                    pooled.pool().on_response_timeout(sent);
                }
                if has_code(&error, UNDEFINED_TABLE) {
                    self.end_transaction(&mut pooled).await?;
                    self.create_table(&mut pooled).await?;
                }
                return Err(AttemptError::NotRun(error));
            }
            Err(RelayError::Client(_)) => {
                return Err(RequestError::Ended(SessionEnd::Closed).into());
            }
            Err(error) => {
                if matches!(error, RelayError::Timeout) {
                    pooled.pool().on_response_timeout(sent);
                }
                let cause = std::io::Error::other(error.to_string());
                return Err(AttemptError::NotRun(OpenError::Connect(cause)));
            }
        }
        if relay.error.is_some() {
            self.end_transaction(&mut pooled).await?;
        } else {
            let answer = recorded_answer::encode(request, relay.recorded());
            let commit = format!("{}; COMMIT", self.update_statement(id, &answer));
            match query(&mut pooled, &commit).await {
                Ok(_) => {}
                Err(error @ OpenError::Refused { .. }) => return Err(AttemptError::NotRun(error)),
                Err(error) => return Err(AttemptError::Unknown(error.to_string())),
            }
        }
        self.settle(&mut pooled, &pipeline, &relay, 0, TxStatus::Idle);
        let status = Some(TxStatus::Idle);
        Ok(self.finish(pooled, relay, status, sent, attempt).await?)
    }

    /// Answers a request that has already run with its recorded answer.
    async fn replay_recorded_answer(
        &mut self,
        mut pooled: PooledConnection,
        request: &Request,
        id: &str,
        attempt: &Attempt,
    ) -> Result<(), AttemptError> {
        self.end_transaction(&mut pooled).await?;
        let select = format!(
            "SELECT answer FROM {TABLE} WHERE {}",
            self.row_condition(id)
        );
        let rows = query(&mut pooled, &self.as_data_user(&select)).await;
        let rows = rows.map_err(AttemptError::NotRun)?;
        let position = pooled.connection().position;
        let awaited = position.map(|position| pooled.confirmation_position(position));
        pooled.return_to_pool(TxStatus::Idle);
        let confirmer = &attempt.database.confirmer;
        let position = position.ok_or(Refusal::Unconfirmed)?;
        let awaited = awaited.unwrap_or(position);
        if confirmer.wait(awaited, attempt.deadline).await != ConfirmationStatus::Confirmed {
            return Err(Refusal::Unconfirmed.into());
        }
        self.record_seen(position);
        self.context.metrics.increment("requests_answered_again");
        let text = rows.into_iter().flatten().flatten().next();
        let frames = text.and_then(|text| recorded_answer::replay(request, &text));
        let frames = frames.ok_or_else(|| Refusal::AlreadyRan(id.to_owned()))?;
        Ok(self.answer(frames, true).await?)
    }

    /// Records the id in the client's open transaction, before its COMMIT is sent.
    pub(crate) async fn record_commit(
        &mut self,
        id: &str,
        attempt: &Attempt,
    ) -> Result<(), RequestError> {
        self.request_id = None;
        let insert = self.insert_statement(id);
        let Some(pooled) = &mut self.pooled else {
            return Ok(());
        };
        let Err(error) = query(pooled, &insert).await else {
            return Ok(());
        };
        // For the client, this COMMIT ends the transaction whether or not it succeeds.
        self.roll_back().await;
        if has_code(&error, UNIQUE_VIOLATION) {
            return Err(Refusal::AlreadyRan(id.to_owned()).into());
        }
        if has_code(&error, UNDEFINED_TABLE) {
            let pool = attempt.database.primary(0, attempt.deadline).await;
            let (pool, _primary) = pool.ok_or(Refusal::NoPrimary)?;
            let organisation = &self.identity.organisation;
            let mut pooled = pool.acquire(organisation, attempt.deadline).await?;
            let setup = self.setup_statements(&mut pooled);
            let prepared = self.prepare(&mut pooled, &setup).await;
            prepared.map_err(AcquireError::Open)?;
            // This transaction is reported as not run; its retry will find the table.
            let _ = self.create_table(&mut pooled).await;
            pooled.return_to_pool(TxStatus::Idle);
        }
        Err(Refusal::NotRecorded(error).into())
    }

    async fn create_table(&self, pooled: &mut PooledConnection) -> Result<(), AttemptError> {
        let create = format!(
            "CREATE TABLE IF NOT EXISTS {TABLE} (organisation TEXT NOT NULL, id TEXT NOT NULL, \
             answer TEXT NOT NULL, recorded TIMESTAMPTZ NOT NULL, PRIMARY KEY (organisation, id))"
        );
        let created = query(pooled, &self.as_data_user(&create)).await;
        created.map(drop).map_err(AttemptError::NotRun)
    }

    async fn end_transaction(&self, pooled: &mut PooledConnection) -> Result<(), AttemptError> {
        let ended = query(pooled, "ROLLBACK").await;
        ended.map(drop).map_err(AttemptError::NotRun)
    }

    fn insert_statement(&self, id: &str) -> String {
        let organisation = quote(&self.identity.organisation);
        let id = quote(id);
        self.as_data_user(&format!(
            "INSERT INTO {TABLE} (organisation, id, answer, recorded) \
             VALUES ({organisation}, {id}, '', now())"
        ))
    }

    fn update_statement(&self, id: &str, answer: &str) -> String {
        let answer = quote(answer);
        let row = self.row_condition(id);
        self.as_data_user(&format!("UPDATE {TABLE} SET answer = {answer} WHERE {row}"))
    }

    fn row_condition(&self, id: &str) -> String {
        let organisation = quote(&self.identity.organisation);
        format!("organisation = {organisation} AND id = {}", quote(id))
    }

    /// Wraps a statement so that it runs as the data user.
    fn as_data_user(&self, sql: &str) -> String {
        let organisation = self.identity.organisation.replace('"', "\"\"");
        format!("RESET SESSION AUTHORIZATION; {sql}; SET SESSION AUTHORIZATION \"{organisation}\"")
    }
}

fn has_code(error: &OpenError, wanted: &str) -> bool {
    matches!(error, OpenError::Refused { code, .. } if code == wanted)
}

/// Whether an error is transient: the member is read-only or shutting down until a new primary is
/// known, or the transaction had a serialization conflict.
fn is_transient(error: &OpenError) -> bool {
    matches!(error, OpenError::Refused { code, .. }
        if matches!(code.as_str(), "25006" | "57P01" | "57P03" | "40001"))
}

fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

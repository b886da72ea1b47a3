//! Runs requests at endpoints and retries those that had no effect.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_core::outcome::Progress;
use magnoliahatch_core::route::ReadRequirements;
use magnoliahatch_core::route::ReadTarget;
use magnoliahatch_core::session::TxStatus;
use magnoliahatch_core::statement_class::StatementClass;

use crate::databases::database::Database;
use crate::databases::gate::PrimaryPermit;
use crate::front::batch::Batch;
use crate::front::cancel;
use crate::front::refusal::Refusal;
use crate::front::relay::RelayError;
use crate::front::request_id::RequestIdUse;
use crate::front::session::Session;
use crate::front::session::SessionEnd;
use crate::pool::member_pool::AcquireError;
use crate::pool::member_pool::MemberPool;
use crate::pool::pooled_connection::PooledConnection;
use crate::wire::frame::Frame;

/// Number of retries of a request that had no effect.
pub(crate) const MAX_RETRIES: u32 = 3;
/// Delay before an unreachable member is tried again.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Time limit for the setup statements of a connection and for rolling back a transaction.
pub(crate) const SETUP_TIMEOUT: Duration = Duration::from_secs(1);

/// One request of a client.
#[derive(Debug, Clone)]
pub(crate) enum Request {
    Query {
        frame: Frame,
        classes: Vec<StatementClass>,
    },
    Batch(Batch),
}

impl Request {
    pub(crate) fn classes(&self) -> &[StatementClass] {
        match self {
            Self::Query { classes, .. } => classes,
            Self::Batch(batch) => &batch.classes,
        }
    }

    fn executes(&self) -> bool {
        match self {
            Self::Query { .. } => true,
            Self::Batch(batch) => batch.executes(),
        }
    }
}

/// Why a request did not complete.
pub(crate) enum RequestError {
    Refused(Refusal),
    Ended(SessionEnd),
}

impl<R: Into<Refusal>> From<R> for RequestError {
    fn from(refusal: R) -> Self {
        Self::Refused(refusal.into())
    }
}

/// State of a request while it is attempted.
pub(crate) struct Attempt {
    pub(crate) database: Arc<Database>,
    pub(crate) replica: bool,
    pub(crate) progress: Progress,
    pub(crate) deadline: Instant,
    pub(crate) to_ready: bool,
    /// Number of retries after the answer was lost.
    pub(crate) retries: u32,
}

impl Session {
    /// Runs a request up to ReadyForQuery, or without `to_ready` up to its last response.
    pub(crate) async fn run(
        &mut self,
        request: &Request,
        to_ready: bool,
    ) -> Result<(), RequestError> {
        let deadline = Instant::now() + self.time_limit;
        let started = Instant::now();
        let classes = request.classes();
        let ends = |class: &StatementClass| {
            matches!(class, StatementClass::Commit | StatementClass::Rollback)
        };
        if request.executes() {
            let organisation = &self.identity.organisation;
            self.context.retry_budgets.on_attempt(organisation);
            // Each statement of a request counts against the rate limit. COMMIT and ROLLBACK are
            // never refused.
            for _ in classes.iter().filter(|class| !ends(class)) {
                self.context.limits.admit(organisation, deadline).await?;
            }
        }
        let view = Arc::clone(&self.context.config.borrow());
        let name = &self.identity.database;
        let database = self.context.registry.get(name, &view);
        let database = database.ok_or(Refusal::NoPrimary)?;
        let reads = self.pooled.is_none() && classes.iter().all(StatementClass::is_read);
        let open = self.state.status != TxStatus::Idle;
        let mut attempt = Attempt {
            database,
            replica: reads,
            progress: Progress {
                inside: (open && !classes.iter().any(ends)) || !to_ready,
                read: reads,
                ..Progress::default()
            },
            deadline,
            to_ready,
            retries: 0,
        };
        if let Some(id) = self.request_id.clone() {
            match self.request_id_use(request, to_ready)? {
                RequestIdUse::Wrap => {
                    self.run_with_request_id(request, &id, &mut attempt).await?;
                    self.record_request(&attempt, started);
                    return Ok(());
                }
                RequestIdUse::WithCommit => self.record_commit(&id, &attempt).await?,
                RequestIdUse::Later => {}
            }
        }
        loop {
            if self.pooled.is_none() {
                self.pooled = Some(self.acquire_connection(&mut attempt).await?);
            }
            match self.attempt(request, &mut attempt).await? {
                Some(member) => {
                    let replica = if attempt.replica {
                        "replica"
                    } else {
                        "primary"
                    };
                    tracing::trace!(event = 202, member, replica, "request complete");
                    let organisation = &self.identity.organisation;
                    let metrics = &self.context.metrics;
                    metrics.record_request(organisation, replica, started.elapsed());
                    return Ok(());
                }
                None if Instant::now() + RETRY_DELAY < attempt.deadline => {}
                None => return Err(Refusal::NoPrimary.into()),
            }
        }
    }

    /// Rolls back an open transaction at the endpoint without a request of the client.
    pub(crate) async fn roll_back(&mut self) {
        self.state.on_connection_lost();
        self.portals.clear();
        let Some(mut pooled) = self.pooled.take() else {
            return;
        };
        let rollback = pooled.connection().query("ROLLBACK");
        if let Ok(Ok(_)) = tokio::time::timeout(SETUP_TIMEOUT, rollback).await {
            let connection_state = &mut pooled.connection().connection_state;
            connection_state.on_ready(&self.identity.organisation, &self.state);
            pooled.return_to_pool(TxStatus::Idle);
        }
    }

    /// Acquires a connection to the member that the request should run on.
    pub(crate) async fn acquire_connection(
        &self,
        attempt: &mut Attempt,
    ) -> Result<PooledConnection, Refusal> {
        let organisation = &self.identity.organisation;
        loop {
            let (pool, primary) = self.find_pool(attempt).await?;
            match pool.acquire(organisation, attempt.deadline).await {
                Ok(mut pooled) => {
                    pooled.set_primary_use(primary);
                    return Ok(pooled);
                }
                Err(AcquireError::Open(_)) if attempt.replica => attempt.replica = false,
                Err(AcquireError::Open(error)) => {
                    tracing::debug!(event = 212, member = pool.member, %error, "cannot connect");
                    if Instant::now() + RETRY_DELAY >= attempt.deadline {
                        return Err(AcquireError::Open(error).into());
                    }
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                Err(error) => return Err(error.into()),
            }
        }
    }

    async fn find_pool(
        &self,
        attempt: &mut Attempt,
    ) -> Result<(Arc<MemberPool>, Option<PrimaryPermit>), Refusal> {
        let database = &attempt.database;
        if attempt.replica {
            let requirements = ReadRequirements {
                seen: self.seen,
                max_age: self.max_read_age(),
            };
            let view = Arc::clone(&self.context.config.borrow());
            if let ReadTarget::Replica(name) =
                database.choose(requirements, &view, &self.context.data_centre)
                && let Some(pool) = database.pool(&name)
            {
                return Ok((Arc::clone(pool), None));
            }
            attempt.replica = false;
        }
        // A position of a newer term than this daemon knows shows that the known primary was
        // replaced. Its answers are no longer confirmed, so the request waits for the new primary.
        let seen_term = self.seen.map_or(0, |seen| seen.term);
        let primary = database.primary(seen_term, attempt.deadline).await;
        let (pool, primary) = primary.ok_or(Refusal::NoPrimary)?;
        Ok((pool, Some(primary)))
    }

    /// Sends the request on the acquired connection and relays the answer. Returns the member that
    /// answered, or `None` if the request had no effect and is to be retried.
    async fn attempt(
        &mut self,
        request: &Request,
        attempt: &mut Attempt,
    ) -> Result<Option<String>, RequestError> {
        let Some(mut pooled) = self.pooled.take() else {
            return Ok(None);
        };
        let mut setup = self.setup_statements(&mut pooled);
        if !request.may_carry_setup() {
            let prepared = self.prepare(&mut pooled, &setup).await;
            if let Err(error) = prepared {
                // Dropping the connection closes it. The request has not been sent.
                tracing::debug!(event = 213, %error, "cannot prepare the connection");
                if Instant::now() + RETRY_DELAY >= attempt.deadline {
                    return Err(AcquireError::Open(error).into());
                }
                tokio::time::sleep(RETRY_DELAY).await;
                return Ok(None);
            }
            setup.clear();
        }
        let (mut pipeline, mut relay) = self.compose(&mut pooled, request, &setup, attempt);
        let sent = Instant::now();
        let key = pooled.connection().key.clone();
        let exchange = self.exchange(&mut pooled, &mut pipeline, &mut relay, attempt, None);
        match exchange.await {
            Ok(Some(status)) if relay.is_read_only() => {
                self.settle(&mut pooled, &pipeline, &relay, setup.len(), status);
                pooled.return_to_pool(status);
                self.context.metrics.increment("read_only_fallbacks");
                if !attempt.replica {
                    // The primary was replaced; monitoring will soon find the new one.
                    tokio::time::sleep(RETRY_DELAY).await;
                }
                attempt.replica = false;
                attempt.progress.sent = false;
                Ok(None)
            }
            Ok(status) => {
                let member = pooled.pool().member.clone();
                if let Some(status) = status {
                    self.settle(&mut pooled, &pipeline, &relay, setup.len(), status);
                }
                self.finish(pooled, relay, status, sent, attempt).await?;
                Ok(Some(member))
            }
            Err(RelayError::Client(_)) => Err(RequestError::Ended(SessionEnd::Closed)),
            Err(error) => {
                if matches!(error, RelayError::Timeout) {
                    pooled.pool().on_response_timeout(sent);
                    tokio::spawn(async move { cancel::send(&key).await });
                }
                attempt.progress.relayed = relay.relayed;
                drop(pooled);
                self.on_lost(error, attempt)
            }
        }
    }

    fn record_request(&self, attempt: &Attempt, started: Instant) {
        let role = if attempt.replica {
            "replica"
        } else {
            "primary"
        };
        let organisation = &self.identity.organisation;
        let metrics = &self.context.metrics;
        metrics.record_request(organisation, role, started.elapsed());
    }
}

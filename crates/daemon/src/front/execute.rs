//! Runs requests at the endpoints.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_core::class::Class;
use magnoliahatch_core::confirm::Verdict;
use magnoliahatch_core::outcome::Outcome;
use magnoliahatch_core::outcome::Progress;
use magnoliahatch_core::outcome::Resolution;
use magnoliahatch_core::route::Choice;
use magnoliahatch_core::route::ReadNeed;
use magnoliahatch_core::session::TxStatus;

use crate::databases::database::Database;
use crate::front::batch::Batch;
use crate::front::cancel;
use crate::front::refusal::Refusal;
use crate::front::relay::Relay;
use crate::front::relay::RelayError;
use crate::front::session::End;
use crate::front::session::Session;
use crate::front::step::Script;
use crate::pool::lease::Lease;
use crate::pool::member_pool::LeaseError;
use crate::pool::member_pool::MemberPool;
use crate::wire::frame::Frame;
use crate::wire::reply;

/// Times that a request that had no effect is sent again.
const REPEATS: u32 = 3;
/// Pause before a member that could not be reached is tried again.
const PAUSE: Duration = Duration::from_millis(20);
/// Time for the statements that prepare a connection, or that end a given-up transaction.
const SETUP_TIMEOUT: Duration = Duration::from_secs(1);

/// One request of a caller.
#[derive(Debug, Clone)]
pub(crate) enum Work {
    Query { frame: Frame, classes: Vec<Class> },
    Batch(Batch),
}

impl Work {
    pub(crate) fn classes(&self) -> &[Class] {
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
pub(crate) enum Failure {
    Refused(Refusal),
    End(End),
}

impl<R: Into<Refusal>> From<R> for Failure {
    fn from(refusal: R) -> Self {
        Self::Refused(refusal.into())
    }
}

/// Where and how one attempt of a request runs.
struct Attempt {
    database: Arc<Database>,
    replica: bool,
    progress: Progress,
    deadline: Instant,
    to_ready: bool,
}

impl Session {
    /// Runs a request up to ReadyForQuery, or without `to_ready` up to its last answer.
    pub(crate) async fn run(&mut self, work: &Work, to_ready: bool) -> Result<(), Failure> {
        let deadline = Instant::now() + self.time_limit;
        let started = Instant::now();
        let classes = work.classes();
        let ends = |class: &Class| matches!(class, Class::Commit | Class::Rollback);
        if work.executes() && !classes.iter().all(ends) {
            let limits = Arc::clone(&self.context.limits);
            limits.admit(&self.identity.organisation, deadline).await?;
        }
        let database = self.context.directory.get(&self.identity.database);
        let database = database.ok_or(Refusal::NoPrimary)?;
        let reads = self.lease.is_none() && classes.iter().all(Class::is_read);
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
        };
        let mut repeats = 0;
        loop {
            if self.lease.is_none() {
                self.lease = Some(self.find_lease(&mut attempt).await?);
            }
            match self.attempt(work, &mut attempt).await? {
                Some(member) => {
                    let replica = if attempt.replica {
                        "replica"
                    } else {
                        "primary"
                    };
                    tracing::trace!(event = 202, member, replica, "request complete");
                    let organisation = &self.identity.organisation;
                    let metrics = &self.context.metrics;
                    metrics.request(organisation, replica, started.elapsed());
                    return Ok(());
                }
                None if repeats < REPEATS => repeats += 1,
                None => return Err(Refusal::NoPrimary.into()),
            }
        }
    }

    /// Ends an open transaction at the endpoint without the caller's request.
    pub(crate) async fn abandon(&mut self) {
        self.state.on_lost();
        self.portals.clear();
        let Some(mut lease) = self.lease.take() else {
            return;
        };
        let rollback = lease.connection().rows("ROLLBACK");
        if let Ok(Ok(_)) = tokio::time::timeout(SETUP_TIMEOUT, rollback).await {
            let link = &mut lease.connection().link;
            link.on_ready(&self.identity.organisation, &self.state);
            lease.give_back(TxStatus::Idle);
        }
    }

    /// Leases a connection to the member that the request should run on.
    async fn find_lease(&self, attempt: &mut Attempt) -> Result<Lease, Refusal> {
        let organisation = &self.identity.organisation;
        loop {
            let pool = self.find_pool(attempt).await?;
            match pool.lease(organisation, attempt.deadline).await {
                Ok(lease) => return Ok(lease),
                Err(LeaseError::Open(_)) if attempt.replica => attempt.replica = false,
                Err(LeaseError::Open(error)) => {
                    tracing::debug!(event = 212, member = pool.member, %error, "cannot connect");
                    if Instant::now() + PAUSE >= attempt.deadline {
                        return Err(LeaseError::Open(error).into());
                    }
                    tokio::time::sleep(PAUSE).await;
                }
                Err(error) => return Err(error.into()),
            }
        }
    }

    async fn find_pool(&self, attempt: &mut Attempt) -> Result<Arc<MemberPool>, Refusal> {
        let database = &attempt.database;
        if attempt.replica {
            let need = ReadNeed {
                seen: self.seen,
                max_age: self.accepted_age(),
            };
            let view = Arc::clone(&self.context.config.borrow());
            if let Choice::Replica(name) = database.choose(need, &view, &self.context.data_centre)
                && let Some(pool) = database.pool(&name)
            {
                return Ok(Arc::clone(pool));
            }
            attempt.replica = false;
        }
        // A token of a newer term than this daemon knows shows that the known primary is old; its
        // answers are not confirmed, so waiting for the new one is a matter of time only.
        let seen_term = self.seen.map_or(0, |seen| seen.term);
        let primary = database.primary(seen_term, attempt.deadline).await;
        primary.ok_or(Refusal::NoPrimary)
    }

    /// Sends the request on the leased connection and relays the answer: the member that answered,
    /// or none if the request had no effect and is to be sent again.
    async fn attempt(
        &mut self,
        work: &Work,
        attempt: &mut Attempt,
    ) -> Result<Option<String>, Failure> {
        let Some(mut lease) = self.lease.take() else {
            return Ok(None);
        };
        let pinned = self.state.status != TxStatus::Idle || self.unsynced;
        let organisation = &self.identity.organisation;
        let mut needs = Vec::new();
        if !pinned {
            needs = lease.connection().link.needs(organisation, &self.state);
        }
        let plain = |class: &Class| matches!(class, Class::Read | Class::Write);
        let pipelined = matches!(work, Work::Batch(_)) && work.classes().iter().all(plain);
        if !needs.is_empty() {
            lease.connection().link.on_prepare();
            if !pipelined {
                let sql = std::mem::take(&mut needs).join("; ");
                let setup = lease.connection().rows(&sql);
                match tokio::time::timeout(SETUP_TIMEOUT, setup).await {
                    Ok(Ok(_)) => {}
                    // A dropped lease closes the connection; nothing was sent for the caller.
                    Ok(Err(error)) if attempt.deadline <= Instant::now() + PAUSE => {
                        return Err(LeaseError::Open(error).into());
                    }
                    failed => {
                        tracing::debug!(event = 213, ?failed, "connection could not be prepared");
                        tokio::time::sleep(PAUSE).await;
                        return Ok(None);
                    }
                }
                let link = &mut lease.connection().link;
                link.on_ready(organisation, &self.state);
            }
        }
        let keep = attempt.replica || attempt.progress.read;
        let (mut script, mut relay) = match work {
            Work::Query { frame, classes } => (
                Script {
                    frames: vec![frame.clone()],
                    ..Script::default()
                },
                Relay::simple(classes, keep, attempt.deadline),
            ),
            Work::Batch(batch) => {
                let link = &mut lease.connection().link;
                let mut script = batch.script(&needs, link, &self.portals);
                let steps = std::mem::take(&mut script.steps);
                (script, Relay::extended(steps, keep, attempt.deadline))
            }
        };
        let last = if attempt.to_ready {
            crate::wire::tag::SYNC
        } else {
            crate::wire::tag::FLUSH
        };
        if matches!(work, Work::Batch(_)) {
            script.frames.push(Frame::new(last, &[]));
        }
        let sent = Instant::now();
        let key = lease.connection().key.clone();
        self.cancel.begin(key.clone());
        let frames = std::mem::take(&mut script.frames);
        let exchange = exchange(&mut lease, frames, &mut relay, self, attempt).await;
        if self.cancel.end() {
            lease.connection().link.taint();
        }
        match exchange {
            Ok(status) if attempt.replica && relay.is_read_only() => {
                self.context.metrics.count("read_only_fallbacks");
                attempt.replica = false;
                if let Some(status) = status {
                    self.settle(&mut lease, &script, &relay, needs.len(), status);
                    lease.give_back(status);
                }
                Ok(None)
            }
            Ok(status) => {
                let member = lease.pool().member.clone();
                relay
                    .release_early(&mut self.client)
                    .await
                    .map_err(|_| Failure::End(End::Closed))?;
                if let Some(status) = status {
                    self.settle(&mut lease, &script, &relay, needs.len(), status);
                }
                self.finish(lease, relay, status, sent, attempt).await?;
                Ok(Some(member))
            }
            Err(RelayError::Client(_)) => Err(Failure::End(End::Closed)),
            Err(error) => {
                if matches!(error, RelayError::Timeout) {
                    lease.pool().on_silence(sent);
                    tokio::spawn(async move { cancel::send(&key).await });
                }
                attempt.progress.relayed = relay.relayed;
                drop(lease);
                self.on_lost(error, attempt)
            }
        }
    }

    fn on_lost(
        &mut self,
        error: RelayError,
        attempt: &mut Attempt,
    ) -> Result<Option<String>, Failure> {
        tracing::info!(event = 214, %error, progress = ?attempt.progress, "answer lost");
        self.portals.clear();
        self.unsynced = false;
        let open = self.state.status != TxStatus::Idle;
        self.state.on_lost();
        let resolution = attempt.progress.resolve();
        if resolution == Resolution::Repeat && Instant::now() < attempt.deadline {
            attempt.replica = false;
            attempt.progress.sent = false;
            return Ok(None);
        }
        let outcome = attempt.progress.outcome();
        if open && outcome == Outcome::NotRun {
            self.given_up = true;
            return Err(Refusal::LostTransaction.into());
        }
        let cause = error.to_string();
        Err(Refusal::Lost { cause, outcome }.into())
    }

    /// Records what the endpoint completed in the state of session and connection.
    fn settle(
        &mut self,
        lease: &mut Lease,
        script: &Script,
        relay: &Relay,
        needs: usize,
        status: TxStatus,
    ) {
        let failed = relay.error.is_some();
        for class in &relay.completed {
            self.state.on_complete(class);
        }
        self.state.on_ready(status, failed);
        self.unsynced = false;
        let link = &mut lease.connection().link;
        if failed {
            // Which statement was closed to make room, if any, is not known.
            if script.closes {
                link.taint();
            }
            let known = relay.parsed.saturating_sub(needs);
            for name in script.parsed.iter().skip(known) {
                link.remove_statement(name);
            }
        }
        if status == TxStatus::Idle {
            self.portals.clear();
            // A failed request undoes the statements that prepared the connection with it.
            if !(failed && needs > 0) {
                link.on_ready(&self.identity.organisation, &self.state);
            }
        } else if needs > 0 {
            link.taint();
        }
    }

    /// Returns the connection, waits for the confirmation and ends the answer.
    async fn finish(
        &mut self,
        mut lease: Lease,
        mut relay: Relay,
        status: Option<TxStatus>,
        sent: Instant,
        attempt: &Attempt,
    ) -> Result<(), Failure> {
        let position = lease.connection().position;
        let member = lease.pool().member.clone();
        let group = &attempt.database.group;
        if let Some(position) = position {
            group.on_answer(&member, position, sent);
        }
        if status == Some(TxStatus::Idle) {
            lease.give_back(TxStatus::Idle);
        } else {
            self.lease = Some(lease);
            self.unsynced = status.is_none();
        }
        let end = |_| Failure::End(End::Closed);
        let Some(status) = status else {
            for frame in relay.take_held() {
                self.client
                    .feed(frame, attempt.deadline)
                    .await
                    .map_err(end)?;
            }
            self.client.flush(attempt.deadline).await.map_err(end)?;
            self.skipping = relay.error.is_some();
            return Ok(());
        };
        let confirmed = match position {
            _ if attempt.replica => true,
            Some(position) => {
                let confirmer = &attempt.database.confirmer;
                let mut verdict = confirmer.wait(position, attempt.deadline).await;
                if verdict == Verdict::Confirmed
                    && attempt.progress.read
                    && self.accepted_age().is_zero()
                {
                    let freshness = &attempt.database.freshness;
                    if !freshness.check(position.term, attempt.deadline).await {
                        verdict = Verdict::Unknown;
                    }
                }
                verdict == Verdict::Confirmed
            }
            // An error that came before any statement ran carries no position.
            None => relay.error.is_some() && relay.completed.is_empty(),
        };
        if !confirmed {
            tracing::warn!(event = 215, member, ?position, "answer not confirmed");
            return Err(Refusal::Unconfirmed.into());
        }
        let before = self.seen;
        if let Some(position) = position {
            self.saw(position);
        }
        for frame in relay.take_held() {
            self.client
                .feed(frame, attempt.deadline)
                .await
                .map_err(end)?;
        }
        if self.seen != before
            && let Some(token) = self.token()
        {
            let frame = reply::parameter(crate::front::own::TOKEN, &token);
            self.client
                .feed(frame, attempt.deadline)
                .await
                .map_err(end)?;
        }
        let ready = reply::ready(status);
        self.client
            .feed(ready, attempt.deadline)
            .await
            .map_err(end)?;
        self.client.flush(attempt.deadline).await.map_err(end)
    }
}

/// Sends the messages and relays the answer.
async fn exchange(
    lease: &mut Lease,
    frames: Vec<Frame>,
    relay: &mut Relay,
    session: &mut Session,
    attempt: &mut Attempt,
) -> Result<Option<TxStatus>, RelayError> {
    let connection = lease.connection();
    connection.position = None;
    let sending = async {
        for frame in frames {
            attempt.progress.sent = true;
            connection.feed(frame).await?;
        }
        connection.flush().await
    };
    match tokio::time::timeout_at(attempt.deadline.into(), sending).await {
        Ok(sent) => sent.map_err(RelayError::Endpoint)?,
        Err(_) => return Err(RelayError::Timeout),
    }
    relay
        .run(lease, &mut session.client, attempt.to_ready)
        .await
}

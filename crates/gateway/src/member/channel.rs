//! Runs a single statement, or the statements of one transaction, on one connection to a member.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::OptionFuture;
use magnoliahatch_core::position::LogPosition;
use tokio::sync::mpsc;

use crate::clock;
use crate::member::channel_handle::ChannelHandle;
use crate::member::channel_handle::QueuedJob;
use crate::member::channel_log;
use crate::member::connection::Response;
use crate::member::connection_error::ConnectionError;
use crate::member::paced_statement::PacedStatement;
use crate::member::pool::Pool;
use crate::member::pooled_connection::PooledConnection;
use crate::member::send_check;
use crate::member::slot_request;
use crate::model::client_refusal::ClientRefusal;
use crate::model::command::Command;
use crate::model::error_code::ErrorCode;
use crate::model::job::Consistency;
use crate::model::job::Job;
use crate::model::job::Target;
use crate::model::job::Work;
use crate::model::outcome::Answer;
use crate::model::outcome::Cause;
use crate::model::outcome::Failure;
use crate::model::outcome::Outcome;
use crate::model::outcome::failure;
use crate::model::statement::Access;
use crate::model::transaction_state::TransactionState;
use crate::node::Node;
use crate::platform::Platform;

/// Time limit for rolling back a transaction, which needs no slot.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(400);

/// Starts a channel that uses this host's connections.
pub fn spawn<P: Platform>(node: Rc<Node<P>>, target: Target) -> ChannelHandle {
    let (handle, jobs) = ChannelHandle::pair();
    tokio::task::spawn_local(async move {
        node.channels.set(node.channels.get() + 1);
        run(node.clone(), target, jobs).await;
        node.channels.set(node.channels.get() - 1);
    });
    handle
}

async fn run<P: Platform>(node: Rc<Node<P>>, target: Target, mut jobs: mpsc::Receiver<QueuedJob>) {
    let Some((job, reply)) = jobs.recv().await else {
        return;
    };
    let primary_guard = match target.consistency {
        Consistency::Primary => match node.use_primary(&target.service, &target.member) {
            Some(guard) => Some(guard),
            None => {
                let refused = Err(failure(ErrorCode::ReadOnly, Cause::Primary));
                let _ = reply.send(refused);
                return;
            }
        },
        Consistency::Bounded { .. } => None,
    };
    let mut channel = match Channel::open(node, target, &job).await {
        Ok(channel) => channel,
        Err(refused) => {
            let _ = reply.send(Err(refused));
            return;
        }
    };
    let mut pending = Some((job, reply));
    loop {
        let entry = match pending.take() {
            Some(entry) => Some(entry),
            None => {
                let idle = &channel.node.clone().idle_channels;
                idle.set(idle.get() + 1);
                let entry = channel.next_job(&mut jobs).await;
                idle.set(idle.get() - 1);
                entry
            }
        };
        let Some((job, reply)) = entry else { break };
        let outcome = channel.execute(job).await;
        // The caller may be gone; it then closes the queue, which ends the channel.
        let _ = reply.send(outcome);
        if channel.done {
            break;
        }
    }
    // From here on `ChannelHandle::send` refuses new jobs.
    jobs.close();
    while let Ok((_, reply)) = jobs.try_recv() {
        let _ = reply.send(Err(failure(ErrorCode::Aborted, Cause::Idle)));
    }
    channel.close().await;
    drop(primary_guard);
}

struct Channel<P: Platform> {
    node: Rc<Node<P>>,
    pool: Rc<Pool<P>>,
    target: Target,
    connection: Option<PooledConnection<P>>,
    /// Position that the member must have applied before it runs a statement.
    after: Option<LogPosition>,
    /// Whether a transaction is open on the member's side of the connection.
    in_transaction: bool,
    /// Whether the channel accepts no further jobs.
    done: bool,
    /// How long the last statement waited for the rate limit of a cold member and for a slot.
    queued: Duration,
    /// Whether this channel's operation has been counted as used.
    counted: bool,
}

impl<P: Platform> Channel<P> {
    async fn open(node: Rc<Node<P>>, target: Target, job: &Job) -> Result<Self, Failure> {
        let until = clock::now() + job.timeout;
        let pool = node.pool(&target.member)?;
        let after = match target.consistency {
            Consistency::Primary => None,
            Consistency::Bounded { age, own } => {
                let floor = node.floors.covering(&node, &target.service, age).await;
                let Some(floor) = floor else {
                    return Err(failure(ErrorCode::Lagging, Cause::Floor));
                };
                Some(own.map_or(floor, |own| own.max(floor)))
            }
        };
        let mut connection = pool
            .connection(slot_request::request(&node, &target, job, until, false))
            .await?;
        let largest = node.settings.clients.max_answer_bytes;
        connection.count_in(&node.memory, largest);
        let mut channel = Self {
            node,
            pool,
            target,
            connection: Some(connection),
            after,
            in_transaction: false,
            done: false,
            queued: Duration::ZERO,
            counted: false,
        };
        if let Some(read_only) = channel.target.transaction {
            channel.begin(job, read_only).await?;
        }
        Ok(channel)
    }

    async fn begin(&mut self, job: &Job, read_only: bool) -> Result<(), Failure> {
        self.prepare(job).await?;
        let command = Command::Begin {
            read_only,
            after: self.after,
        };
        let sent = clock::now();
        let response = self.send(command, job.timeout).await.map_err(|error| {
            self.pool.on_error(&error, sent);
            error.failure(false)
        })?;
        match response.result {
            Ok(_) if response.state == TransactionState::Open => {
                self.in_transaction = true;
                Ok(())
            }
            Ok(_) => {
                let error = ConnectionError::Protocol;
                self.pool.on_error(&error, sent);
                self.discard_connection();
                Err(error.failure(false))
            }
            Err((code, _)) => {
                if response.state == TransactionState::Idle {
                    self.release();
                }
                let code = if code.not_run() {
                    code
                } else {
                    ErrorCode::Aborted
                };
                Err(failure(code, Cause::Member))
            }
        }
    }

    /// Waits for the next job. Returns `None` if the caller is gone or the transaction must end.
    async fn next_job(&mut self, jobs: &mut mpsc::Receiver<QueuedJob>) -> Option<QueuedJob> {
        let idle = self.node.idle_limit();
        let short = self.connection.as_ref().map(|connection| {
            connection.set_running(false);
            connection.closed()
        });
        let short = OptionFuture::from(short);
        let primary = matches!(self.target.consistency, Consistency::Primary);
        let lost = self
            .node
            .wait_primary_lost(primary.then_some(self.target.service.as_str()));
        tokio::select! {
            entry = jobs.recv() => entry,
            () = tokio::time::sleep(idle) => {
                channel_log::ended(&self.target, Cause::Idle);
                None
            }
            () = lost => {
                channel_log::ended(&self.target, Cause::Primary);
                None
            }
            Some(()) = short => {
                self.node.metrics.count_client_refusal(ClientRefusal::Memory);
                channel_log::ended(&self.target, Cause::Queue);
                None
            }
        }
    }

    async fn execute(&mut self, job: Job) -> Outcome {
        let start = clock::now();
        self.queued = Duration::ZERO;
        let outcome = self.try_execute(&job).await;
        let took = clock::now().saturating_sub(start);
        channel_log::executed(&self.target, &job, &outcome, self.after, took, self.queued);
        let ended = self.target.transaction.is_none() || matches!(job.work, Work::Commit);
        self.done = self.done || ended || outcome.is_err();
        if self.done && !self.in_transaction {
            self.release();
        }
        outcome
    }

    async fn try_execute(&mut self, job: &Job) -> Outcome {
        let start = clock::now();
        let until = start + job.timeout;
        let prepared = self.prepare(job).await?;
        self.pool.wait_for_rate(!self.in_transaction, until).await?;
        let request =
            slot_request::request(&self.node, &self.target, job, until, self.in_transaction);
        let slot = self.pool.slot(request, &self.node.metrics).await?;
        self.queued = clock::now().saturating_sub(start);
        let primary = matches!(self.target.consistency, Consistency::Primary);
        if primary
            && !self
                .node
                .may_use_primary(&self.target.service, &self.target.member)
        {
            return Err(failure(ErrorCode::Aborted, Cause::Primary));
        }
        send_check::check(&self.node, &self.target, job, self.in_transaction)?;
        let command = self.command(job, prepared);
        let sent = clock::now();
        let paced = PacedStatement::sent(&self.pool, job.work.kind());
        let result = self.send(command, until.saturating_sub(sent)).await;
        // Before the slot is released, so that the next statement is admitted by the new window.
        paced.end(&self.node, &self.target, &result);
        match &result {
            Ok(response) if response.was_run() => {
                slot.finish(clock::now().saturating_sub(sent));
            }
            _ => drop(slot),
        }
        self.count_usage(&result, sent);
        let durable = job.work.writes()
            && (self.target.transaction.is_none() || matches!(job.work, Work::Commit));
        match result {
            Ok(response) => self.on_response(response, sent, durable),
            Err(error) => {
                self.on_error(&error, sent);
                Err(error.failure(durable))
            }
        }
    }

    /// Counts an operation for its organisation's usage with its first statement that the member ran
    /// or may have run. Rates count operations as well.
    fn count_usage(&mut self, result: &Result<Response, ConnectionError>, sent: Duration) {
        let ran = match result {
            Ok(response) => match &response.result {
                Ok(_) => true,
                Err((code, _)) => code.may_have_run(),
            },
            Err(error) => error.may_have_run(),
        };
        if ran
            && let Some(usage) = &self.node.usage
            && !std::mem::replace(&mut self.counted, true)
        {
            usage.count(&self.target.organisation, sent);
        }
    }

    fn on_response(&mut self, response: Response, sent: Duration, durable: bool) -> Outcome {
        self.pool.on_answer();
        self.in_transaction = response.state != TransactionState::Idle;
        let primary = matches!(self.target.consistency, Consistency::Primary);
        let valid = !primary
            || self
                .node
                .may_use_primary(&self.target.service, &self.target.member);
        if primary
            && valid
            && let Some(position) = response.position
        {
            let floors = &self.node.floors;
            floors.record(&self.target.service, sent, position);
        }
        if durable
            && primary
            && valid
            && response.result.is_ok()
            && let Some(position) = response.position
        {
            let primaries = &self.node.primaries;
            primaries.record_acknowledged(&self.target.service, position);
        }
        match response.result {
            Ok(Some(proof)) if valid || !durable => Ok(Answer {
                rows: response.rows,
                proof,
                position: response.position,
            }),
            // The primary may have been replaced meanwhile, and the commit lost with it.
            Ok(Some(_)) => Err(failure(ErrorCode::Unknown, Cause::Primary)),
            Ok(None) => Err(failure(ErrorCode::Unknown, Cause::Member)),
            Err((code, _)) => Err(failure(code, Cause::Member)),
        }
    }

    /// The command that runs a job. `prepared` is the name of its prepared statement.
    fn command(&self, job: &Job, prepared: Option<Bytes>) -> Command {
        let id = job.id.clone();
        // Inside a transaction, BEGIN already required the position.
        let after = if self.in_transaction {
            None
        } else {
            self.after
        };
        match &job.work {
            Work::Commit => Command::Commit { id },
            Work::Read(text) => Command::Forward {
                id,
                after,
                text: text.clone(),
            },
            Work::Write(text) => Command::Forward {
                id,
                after: None,
                text: text.clone(),
            },
            Work::Execute {
                access, arguments, ..
            } => Command::Execute {
                id,
                after: after.filter(|_| *access == Access::Read),
                name: prepared.unwrap_or_default(),
                arguments: arguments.clone(),
            },
        }
    }

    /// Prepares the connection for a job. Returns the name of the job's prepared statement.
    async fn prepare(&mut self, job: &Job) -> Result<Option<Bytes>, Failure> {
        let template = match &job.work {
            Work::Execute {
                access, template, ..
            } => Some((*access, template)),
            _ => None,
        };
        let Some(connection) = &mut self.connection else {
            return Err(failure(ErrorCode::Aborted, Cause::Connection));
        };
        let sent = clock::now();
        connection.set_running(true);
        let result = connection.prepare(&job.values, template).await;
        result.map_err(|error| {
            if matches!(error, ConnectionError::NoMemory) {
                let refusal = ClientRefusal::State;
                self.node.metrics.count_client_refusal(refusal);
            }
            self.on_error(&error, sent);
            error.failure(false)
        })
    }

    /// Releases or closes the connection after a failed command. If nothing was sent, the connection
    /// is unchanged; an open transaction is then rolled back when the channel closes.
    fn on_error(&mut self, error: &ConnectionError, sent: Duration) {
        if !error.is_unsent() {
            self.pool.on_error(error, sent);
            self.discard_connection();
        } else if !self.in_transaction {
            self.release();
        }
    }

    async fn send(
        &mut self,
        command: Command,
        timeout: Duration,
    ) -> Result<Response, ConnectionError> {
        let connection = self.connection.as_mut().ok_or(ConnectionError::Closed)?;
        let result = connection.run(command, timeout).await;
        if result.as_ref().is_err_and(|e| !e.is_unsent()) {
            // A late answer must not be taken for that of another statement.
            self.connection = None;
        }
        result
    }

    fn discard_connection(&mut self) {
        self.connection = None;
        self.in_transaction = false;
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
    }

    /// Rolls back an open transaction and returns the connection to the pool.
    async fn close(&mut self) {
        if self.in_transaction && self.connection.is_some() {
            let sent = clock::now();
            let result = self.send(Command::Rollback, ROLLBACK_TIMEOUT).await;
            match result {
                Ok(response) if response.state == TransactionState::Idle => {
                    self.in_transaction = false
                }
                Ok(_) => self.connection = None,
                Err(error) => self.pool.on_error(&error, sent),
            }
        }
        self.release();
    }
}

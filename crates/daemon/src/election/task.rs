//! Election task of one database group.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use magnoliahatch_core::election::Election;
use magnoliahatch_core::election::ElectionAction;
use magnoliahatch_core::failure_detector::FailureDetector;
use magnoliahatch_core::failure_detector::PrimaryObservation;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::member_command::CommandReply;
use magnoliahatch_core::member_command::MemberCommand;
use magnoliahatch_core::member_command::MemberStatus;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::election::Command;
use crate::election::Elected;
use crate::election::Inputs;
use crate::election::row;

/// Timeout of a command.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Longest time between two evaluations of the state when no event arrives.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before an election in which the observations of other daemons that detect the fault at the
/// same time arrive; they determine the turn of this daemon.
const OBSERVATION_DELAY: Duration = Duration::from_millis(50);
/// Delay between the elections that successive daemons start for the same primary, so that they do
/// not compete; fencing normally takes a few tens of milliseconds.
const TURN_DELAY: Duration = Duration::from_millis(250);
/// Interval of the checks whether the members follow the primary, over all daemons together. While
/// the view shows a member in an older term, each daemon checks at this interval.
const REPAIR_INTERVAL: Duration = Duration::from_secs(2);
/// Time within which the view must show a primary that this daemon promoted.
const VIEW_DELAY: Duration = Duration::from_secs(2);
/// Capacity of the command channel.
const COMMAND_CAPACITY: usize = 4;

/// Handle of a running election task, which ends when the handle or the sender of the view is
/// dropped.
#[derive(Debug)]
pub struct Handle {
    /// This daemon's observation, to be sent to its peers.
    pub observation: watch::Receiver<Option<PrimaryObservation>>,
    /// Last primary that this daemon promoted.
    pub elected: watch::Receiver<Option<Elected>>,
    pub commands: mpsc::Sender<Command>,
}

/// Starts the election task of one database group.
pub fn spawn(inputs: Inputs) -> Handle {
    let (observation, observation_seen) = watch::channel(None);
    let (elected, elected_seen) = watch::channel(None);
    let (commands, received) = mpsc::channel(COMMAND_CAPACITY);
    let members = inputs.members.keys().cloned().collect();
    let task = Task {
        detector: FailureDetector::new(inputs.patience),
        election: Election::new(members, inputs.timing, rand::random()),
        candidate: format!("{}/{:x}", inputs.host, inputs.incarnation),
        pending: FuturesUnordered::new(),
        switchover: None,
        view_due: Duration::ZERO,
        last_repair: Duration::ZERO,
        observation,
        elected,
        inputs,
    };
    tokio::spawn(task.run(received));
    Handle {
        observation: observation_seen,
        elected: elected_seen,
        commands,
    }
}

/// Result of calls to members.
enum CallResult {
    Call {
        member: MemberId,
        term: Term,
        answer: CommandReply,
    },
    Statuses(BTreeMap<MemberId, MemberStatus>),
}

struct Task {
    inputs: Inputs,
    detector: FailureDetector,
    election: Election,
    /// Name by which this daemon requests grants: host and incarnation.
    candidate: String,
    pending: FuturesUnordered<BoxFuture<'static, CallResult>>,
    /// Term of the primary that a requested switchover replaces; a primary of an older term is
    /// replaced too.
    switchover: Option<Term>,
    /// Time until which the view may lag behind a promotion by this daemon.
    view_due: Duration,
    /// Time of the last check whether the members follow the primary.
    last_repair: Duration,
    observation: watch::Sender<Option<PrimaryObservation>>,
    elected: watch::Sender<Option<Elected>>,
}

impl Task {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        loop {
            self.evaluate();
            let now = self.now();
            let due = self
                .election
                .next_tick()
                .unwrap_or(now + EVALUATION_INTERVAL);
            let wake = self.inputs.start + due.min(now + EVALUATION_INTERVAL);
            tokio::select! {
                changed = self.inputs.view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                command = commands.recv() => match command {
                    Some(command) => self.on_command(command),
                    None => return,
                },
                Some(result) = self.pending.next() => self.on_result(result),
                () = tokio::time::sleep_until(wake.into()) => {}
            }
        }
    }

    fn now(&self) -> Duration {
        self.inputs.start.elapsed()
    }

    /// Updates the state machines and performs the resulting actions.
    fn evaluate(&mut self) {
        let now = self.now();
        let view = self.inputs.view.borrow_and_update().clone();
        let peers = self.inputs.peers.borrow().clone();
        self.detector.on_view(&view, now);
        let observation = self.detector.observation();
        self.observation.send_if_modified(|old| {
            let differs = *old != observation;
            *old = observation;
            differs
        });
        self.election.on_term(view.term);
        let promoted = self.elected.borrow().as_ref().map_or(0, |e| e.term);
        if self.switchover.is_some_and(|replaces| view.term > replaces) && view.primary.is_some() {
            self.switchover = None;
            self.election.set_preferred(None);
        }
        self.election
            .set_last_choice((self.inputs.out_of_service)());
        let promotion_unseen = view.term < promoted && now < self.view_due;
        let needed = self.switchover.is_some()
            || (!promotion_unseen && self.detector.needs_primary(&peers, now));
        let turn =
            self.detector
                .candidate_rank(&self.inputs.host, &self.inputs.database, &peers, now);
        let delay = match self.switchover {
            // Only one daemon executes a switchover, so there is no competition to avoid.
            Some(_) => Duration::ZERO,
            None => OBSERVATION_DELAY + TURN_DELAY * u32::try_from(turn).unwrap_or(u32::MAX),
        };
        if needed && !self.election.is_active() {
            tracing::warn!(
                event = 4201,
                database = self.inputs.database,
                term = view.term,
                turn,
                "primary is unavailable or to be replaced, starting an election"
            );
        }
        self.election.set_primary_needed(needed, delay, now);
        let actions = self.election.on_tick(now);
        self.perform(actions);
        let behind = view
            .members
            .values()
            .any(|member| member.reachable && member.term < view.term);
        let daemons = u32::try_from(1 + peers.live).unwrap_or(u32::MAX);
        let interval = if behind {
            REPAIR_INTERVAL
        } else {
            REPAIR_INTERVAL * daemons
        };
        if now >= self.last_repair + interval && !self.election.is_active() && observation.is_some()
        {
            self.last_repair = now;
            self.request_statuses();
        }
    }

    fn on_command(&mut self, command: Command) {
        let Command::Switchover {
            preferred,
            replaces,
        } = command;
        self.election.set_preferred(preferred);
        self.switchover = Some(replaces);
    }

    fn on_result(&mut self, result: CallResult) {
        let now = self.now();
        let actions = match result {
            CallResult::Call {
                member,
                term,
                answer,
            } => self.election.on_answer(&member, term, answer, now),
            CallResult::Statuses(statuses) if !self.election.is_active() => {
                self.election.repair(&statuses)
            }
            CallResult::Statuses(_) => return,
        };
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<ElectionAction>) {
        let database = &self.inputs.database;
        for action in actions {
            match action {
                ElectionAction::Call {
                    member,
                    term,
                    command,
                } => self.pending.push(self.call(member, term, command)),
                ElectionAction::Elected { member, term } => {
                    tracing::warn!(
                        event = 4202,
                        database,
                        member,
                        term,
                        "promoted a new primary"
                    );
                    self.switchover = None;
                    self.election.set_preferred(None);
                    self.view_due = self.now() + VIEW_DELAY;
                    self.elected.send_replace(Some(Elected { member, term }));
                }
                ElectionAction::Abandoned { term } => {
                    tracing::warn!(event = 4203, database, term, "election abandoned");
                }
            }
        }
    }

    fn call(
        &self,
        member: MemberId,
        term: Term,
        command: MemberCommand,
    ) -> BoxFuture<'static, CallResult> {
        let address = match &command {
            MemberCommand::Follow(primary) => self.inputs.members.get(primary).copied(),
            _ => None,
        };
        let text = row::sql(&command, term, &self.candidate, address);
        let row = (self.inputs.call)(member.clone(), text);
        let limited = timeout(CALL_TIMEOUT, row);
        async move {
            let answer = match limited.await {
                Ok(Ok(row)) => row::answer(&command, &row).unwrap_or_else(|error| {
                    tracing::warn!(event = 4204, member, %error, "invalid answer of a member");
                    CommandReply::Lost
                }),
                Ok(Err(error)) => {
                    tracing::debug!(event = 4205, member, error, "verb failed on a member");
                    CommandReply::Lost
                }
                Err(_) => CommandReply::Lost,
            };
            CallResult::Call {
                member,
                term,
                answer,
            }
        }
        .boxed()
    }

    /// Requests the status of all members, from which the election derives who must follow.
    fn request_statuses(&self) {
        let request = |member: &MemberId| {
            let row = (self.inputs.call)(member.clone(), row::status_sql());
            let member = member.clone();
            async move {
                let row = timeout(CALL_TIMEOUT, row).await.ok()?.ok()?;
                Some((member, row::status(&row).ok()?))
            }
        };
        let all = futures::future::join_all(self.inputs.members.keys().map(request));
        let statuses = all.map(|found| CallResult::Statuses(found.into_iter().flatten().collect()));
        self.pending.push(statuses.boxed());
    }
}

//! Task of one database group.

use std::collections::BTreeMap;
use std::time::Duration;

use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use magnoliahatch_core::election::Action;
use magnoliahatch_core::election::Election;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::suspicion::Opinion;
use magnoliahatch_core::suspicion::Suspicion;
use magnoliahatch_core::verb::Answer;
use magnoliahatch_core::verb::MemberStatus;
use magnoliahatch_core::verb::Verb;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time::timeout;

use crate::election::Command;
use crate::election::Elected;
use crate::election::Inputs;
use crate::election::row;

/// Longest time for a verb.
const CALL_LIMIT: Duration = Duration::from_millis(600);
/// Interval at which the state is judged although nothing was received.
const JUDGE: Duration = Duration::from_millis(100);
/// Wait for the opinions of other daemons that notice the fault at the same time; the turn depends
/// on them.
const GATHER: Duration = Duration::from_millis(50);
/// Delay between the starts of two daemons that suspect the same primary; a fencing normally
/// takes a few tens of milliseconds.
const TURN: Duration = Duration::from_millis(250);
/// Interval at which the daemons together ask the members whether they follow the primary; one
/// daemon alone does so at this interval while the view shows a member in an older term.
const REPAIR: Duration = Duration::from_secs(2);
/// Time for the view to show a primary that this daemon has promoted.
const SHOW: Duration = Duration::from_secs(2);
/// Requests that may wait for the task.
const COMMANDS: usize = 4;

/// A running election task; it ends when the handle or the view's sender is dropped.
#[derive(Debug)]
pub struct Handle {
    /// This daemon's opinion, to be sent to its peers.
    pub opinion: watch::Receiver<Option<Opinion>>,
    /// Last primary that this daemon has promoted.
    pub elected: watch::Receiver<Option<Elected>>,
    pub commands: mpsc::Sender<Command>,
}

/// Starts the task of one database group.
pub fn spawn(inputs: Inputs) -> Handle {
    let (opinion, opinion_seen) = watch::channel(None);
    let (elected, elected_seen) = watch::channel(None);
    let (commands, received) = mpsc::channel(COMMANDS);
    let members = inputs.members.keys().cloned().collect();
    let task = Task {
        suspicion: Suspicion::new(inputs.patience),
        election: Election::new(members, inputs.timing, rand::random()),
        candidate: format!("{}/{:x}", inputs.host, inputs.incarnation),
        pending: FuturesUnordered::new(),
        forced: None,
        shown_by: Duration::ZERO,
        repaired: Duration::ZERO,
        opinion,
        elected,
        inputs,
    };
    tokio::spawn(task.run(received));
    Handle {
        opinion: opinion_seen,
        elected: elected_seen,
        commands,
    }
}

/// Outcome of calls to members.
enum Done {
    Call {
        member: MemberId,
        term: Term,
        answer: Answer,
    },
    Statuses(BTreeMap<MemberId, MemberStatus>),
}

struct Task {
    inputs: Inputs,
    suspicion: Suspicion,
    election: Election,
    candidate: String,
    pending: FuturesUnordered<BoxFuture<'static, Done>>,
    /// A switchover was requested, of the primary of this term or an older one.
    forced: Option<Term>,
    /// Until when the view may lag behind a promotion by this daemon.
    shown_by: Duration,
    repaired: Duration,
    opinion: watch::Sender<Option<Opinion>>,
    elected: watch::Sender<Option<Elected>>,
}

impl Task {
    async fn run(mut self, mut commands: mpsc::Receiver<Command>) {
        loop {
            self.judge();
            let now = self.now();
            let due = self.election.next_tick().unwrap_or(now + JUDGE);
            let wake = self.inputs.start + due.min(now + JUDGE);
            tokio::select! {
                changed = self.inputs.view.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                command = commands.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                Some(done) = self.pending.next() => self.done(done),
                () = tokio::time::sleep_until(wake.into()) => {}
            }
        }
    }

    fn now(&self) -> Duration {
        self.inputs.start.elapsed()
    }

    /// Brings the state machines up to date.
    fn judge(&mut self) {
        let now = self.now();
        let view = self.inputs.view.borrow_and_update().clone();
        let peers = self.inputs.peers.borrow().clone();
        self.suspicion.on_view(&view, now);
        let opinion = self.suspicion.opinion();
        self.opinion.send_if_modified(|old| {
            let differs = *old != opinion;
            *old = opinion;
            differs
        });
        self.election.on_term(view.term);
        let promoted = self.elected.borrow().as_ref().map_or(0, |e| e.term);
        if self.forced.is_some_and(|replaces| view.term > replaces) && view.primary.is_some() {
            self.forced = None;
            self.election.set_preferred(None);
        }
        self.election.set_avoided((self.inputs.avoid)());
        let unseen = view.term < promoted && now < self.shown_by;
        let needed =
            self.forced.is_some() || (!unseen && self.suspicion.needs_primary(&peers, now));
        let turn = self
            .suspicion
            .turn(&self.inputs.host, &self.inputs.database, &peers, now);
        let delay = match self.forced {
            // One daemon orders a planned change, so there are no turns to take.
            Some(_) => Duration::ZERO,
            None => GATHER + TURN * u32::try_from(turn).unwrap_or(u32::MAX),
        };
        if needed && !self.election.is_active() {
            tracing::warn!(
                event = 4201,
                database = self.inputs.database,
                term = view.term,
                turn,
                "the database group needs a new primary"
            );
        }
        self.election.on_need(needed, delay, now);
        let actions = self.election.on_tick(now);
        self.perform(actions);
        let behind = view
            .members
            .values()
            .any(|member| member.reachable && member.term < view.term);
        let daemons = u32::try_from(1 + peers.live).unwrap_or(u32::MAX);
        let interval = if behind { REPAIR } else { REPAIR * daemons };
        if now >= self.repaired + interval && !self.election.is_active() && opinion.is_some() {
            self.repaired = now;
            self.ask_statuses();
        }
    }

    fn command(&mut self, command: Command) {
        let Command::Switchover {
            preferred,
            replaces,
        } = command;
        self.election.set_preferred(preferred);
        self.forced = Some(replaces);
    }

    fn done(&mut self, done: Done) {
        let now = self.now();
        let actions = match done {
            Done::Call {
                member,
                term,
                answer,
            } => self.election.on_answer(&member, term, answer, now),
            Done::Statuses(statuses) if !self.election.is_active() => {
                self.election.repair(&statuses)
            }
            Done::Statuses(_) => return,
        };
        self.perform(actions);
    }

    fn perform(&mut self, actions: Vec<Action>) {
        let database = &self.inputs.database;
        for action in actions {
            match action {
                Action::Call { member, term, verb } => {
                    self.pending.push(self.call(member, term, verb))
                }
                Action::Elected { member, term } => {
                    tracing::warn!(
                        event = 4202,
                        database,
                        member,
                        term,
                        "promoted a new primary"
                    );
                    self.forced = None;
                    self.election.set_preferred(None);
                    self.shown_by = self.now() + SHOW;
                    self.elected.send_replace(Some(Elected { member, term }));
                }
                Action::Abandoned { term } => {
                    tracing::warn!(event = 4203, database, term, "gave up an election");
                }
            }
        }
    }

    fn call(&self, member: MemberId, term: Term, verb: Verb) -> BoxFuture<'static, Done> {
        let address = match &verb {
            Verb::Follow(primary) => self.inputs.members.get(primary).copied(),
            _ => None,
        };
        let text = row::sql(&verb, term, &self.candidate, address);
        let row = (self.inputs.call)(member.clone(), text);
        let limited = timeout(CALL_LIMIT, row);
        async move {
            let answer = match limited.await {
                Ok(Ok(row)) => row::answer(&verb, &row).unwrap_or_else(|error| {
                    tracing::warn!(event = 4204, member, %error, "unexpected answer of a member");
                    Answer::Lost
                }),
                Ok(Err(error)) => {
                    tracing::debug!(event = 4205, member, error, "verb failed");
                    Answer::Lost
                }
                Err(_) => Answer::Lost,
            };
            Done::Call {
                member,
                term,
                answer,
            }
        }
        .boxed()
    }

    fn ask_statuses(&self) {
        let ask = |member: &MemberId| {
            let row = (self.inputs.call)(member.clone(), row::status_sql());
            let member = member.clone();
            async move {
                let row = timeout(CALL_LIMIT, row).await.ok()?.ok()?;
                Some((member, row::status(&row).ok()?))
            }
        };
        let all = futures::future::join_all(self.inputs.members.keys().map(ask));
        let statuses = all.map(|found| Done::Statuses(found.into_iter().flatten().collect()));
        self.pending.push(statuses.boxed());
    }
}

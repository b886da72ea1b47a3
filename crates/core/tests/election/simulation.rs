//! Simulation of members, candidates and a network that delays, reorders and loses messages.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::election::Election;
use magnoliahatch_core::election::ElectionAction;
use magnoliahatch_core::election::ElectionTimeouts;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::member_command::CommandReply;
use magnoliahatch_core::member_command::MemberCommand;
use magnoliahatch_core::role::Role;

use crate::model::Entry;
use crate::model::Member;
use crate::model::Pull;
use crate::model::PullReply;

/// One event of the simulation. Indexes are taken modulo the number of existing items.
#[derive(Debug, Clone)]
pub(crate) enum Step {
    Deliver(usize),
    Lose(usize),
    /// Time in milliseconds passes for one candidate, while the others are paused.
    Tick(usize, u64),
    SetNeeded(usize, bool),
    Repair(usize),
    RestartCandidate(usize),
    Crash(usize),
    Restart(usize),
    Write(usize),
    Pull(usize),
    /// A candidate observes the newest term.
    ObserveTerm(usize),
    /// A candidate attempts an election in which up to `messages` messages are delivered, all of
    /// them to or from the members of the bit mask.
    Elect {
        candidate: usize,
        mask: u8,
        messages: usize,
    },
    /// A replica pulls the given number of times without interruption.
    Replicate(usize, usize),
}

#[derive(Debug, Clone)]
enum Message {
    Call(Call),
    CommandReply(Call, CommandReply),
    Pull(usize, Pull),
    PullReply(Pull, PullReply),
}

#[derive(Debug, Clone)]
struct Call {
    /// Index and incarnation of the candidate.
    from: (usize, u64),
    member: usize,
    term: Term,
    command: MemberCommand,
}

pub(crate) struct Candidate {
    pub(crate) election: Election,
    incarnation: u64,
    pub(crate) now: Duration,
}

pub(crate) struct Simulation {
    pub(crate) members: Vec<Member>,
    pub(crate) candidates: Vec<Candidate>,
    network: Vec<Message>,
    next_entry: u64,
    primaries: BTreeMap<Term, usize>,
    /// Entries that a primary has reported as confirmed, by index.
    pub(crate) confirmed: Vec<Entry>,
    /// Number of these entries that the primary of each term has confirmed.
    pub(crate) confirmed_lengths: BTreeMap<Term, usize>,
    /// Entries that a primary appended after a majority had granted a higher term.
    pub(crate) late_writes: Vec<Entry>,
}

pub(crate) fn member_name(member: usize) -> MemberId {
    format!("m{member}")
}

fn member_index(member: &MemberId) -> usize {
    member[1..]
        .parse()
        .expect("a member's name is m and its index")
}

impl Simulation {
    pub(crate) fn new(candidates: usize) -> Self {
        let members = (0..3).map(|at| match at {
            0 => Member::new(Role::Primary, None),
            _ => Member::new(Role::Replica, Some(0)),
        });
        let mut simulation = Self {
            members: members.collect(),
            candidates: Vec::new(),
            network: Vec::new(),
            next_entry: 1,
            primaries: BTreeMap::from([(1, 0)]),
            confirmed: Vec::new(),
            confirmed_lengths: BTreeMap::new(),
            late_writes: Vec::new(),
        };
        for at in 0..candidates {
            simulation.candidates.push(candidate(at, 0));
        }
        simulation
    }

    pub(crate) fn step(&mut self, step: &Step) {
        match *step {
            Step::Deliver(at) if !self.network.is_empty() => {
                let message = self.network.remove(at % self.network.len());
                self.deliver(message);
            }
            Step::Lose(at) if !self.network.is_empty() => {
                let message = self.network.remove(at % self.network.len());
                if let Message::Call(call) | Message::CommandReply(call, _) = message {
                    self.answer(&call, CommandReply::Lost);
                }
            }
            Step::Tick(at, ms) => self.tick(at % self.candidates.len(), ms),
            Step::SetNeeded(at, needed) => {
                let candidate = self.candidate(at);
                let now = candidate.now;
                candidate
                    .election
                    .set_primary_needed(needed, Duration::ZERO, now);
            }
            Step::Repair(at) => self.repair(at % self.candidates.len()),
            Step::RestartCandidate(at) => {
                let at = at % self.candidates.len();
                let incarnation = self.candidates[at].incarnation + 1;
                self.candidates[at] = candidate(at, incarnation);
            }
            Step::Crash(at) => self.member(at).up = false,
            Step::Restart(at) => self.member(at).restart(),
            Step::Write(at) => self.write(at % self.members.len()),
            Step::Pull(at) => self.pull(at % self.members.len()),
            Step::ObserveTerm(at) => {
                let newest = self.members.iter().map(|m| m.term).max().unwrap_or(0);
                self.candidate(at).election.on_term(newest);
            }
            Step::Elect {
                candidate,
                mask,
                messages,
            } => self.elect(candidate % self.candidates.len(), mask, messages),
            Step::Replicate(at, times) => {
                for _ in 0..times {
                    self.replicate(at % self.members.len());
                }
            }
            Step::Deliver(_) | Step::Lose(_) => {}
        }
        self.check_confirmed();
    }

    fn member(&mut self, at: usize) -> &mut Member {
        let count = self.members.len();
        &mut self.members[at % count]
    }

    fn candidate(&mut self, at: usize) -> &mut Candidate {
        let count = self.candidates.len();
        &mut self.candidates[at % count]
    }

    pub(crate) fn tick(&mut self, at: usize, ms: u64) {
        let candidate = &mut self.candidates[at];
        candidate.now += Duration::from_millis(ms);
        let actions = candidate.election.on_tick(candidate.now);
        self.send(at, actions);
    }

    pub(crate) fn repair(&mut self, at: usize) {
        let up = self.members.iter().enumerate().filter(|(_, m)| m.up);
        let statuses = up
            .map(|(at, member)| (member_name(at), member.status()))
            .collect();
        let actions = self.candidates[at].election.repair(&statuses);
        self.send(at, actions);
    }

    fn send(&mut self, at: usize, actions: Vec<ElectionAction>) {
        let from = (at, self.candidates[at].incarnation);
        for action in actions {
            if let ElectionAction::Call {
                member,
                term,
                command,
            } = action
            {
                self.network.push(Message::Call(Call {
                    from,
                    member: member_index(&member),
                    term,
                    command,
                }));
            }
        }
    }

    pub(crate) fn write(&mut self, at: usize) {
        let entry = (self.members[at].term, self.next_entry);
        if !self.members[at].up || self.members[at].role != Role::Primary {
            return;
        }
        self.next_entry += 1;
        self.members[at].log.push(entry);
        let newer = self.members.iter().filter(|m| m.term > entry.0).count();
        if newer > self.members.len() / 2 {
            self.late_writes.push(entry);
        }
    }

    pub(crate) fn pull(&mut self, at: usize) {
        let member = &self.members[at];
        let (true, Role::Replica, Some(upstream)) = (member.up, member.role, member.upstream)
        else {
            return;
        };
        let pull = Pull {
            from: at,
            term: member.term,
            end: member.end(),
        };
        self.network.push(Message::Pull(upstream, pull));
    }

    fn elect(&mut self, at: usize, mask: u8, messages: usize) {
        // Longer than every timeout, so that the candidate's previous election ends.
        self.tick(at, 3500);
        let candidate = &mut self.candidates[at];
        let now = candidate.now;
        candidate
            .election
            .set_primary_needed(true, Duration::ZERO, now);
        for _ in 0..messages {
            self.tick(at, 10);
            let from = (at, self.candidates[at].incarnation);
            let is_deliverable = |message: &Message| match message {
                Message::Call(call) | Message::CommandReply(call, _) => {
                    call.from == from && mask & (1 << call.member) != 0
                }
                _ => false,
            };
            if let Some(at) = self.network.iter().position(is_deliverable) {
                let message = self.network.remove(at);
                self.deliver(message);
                self.check_confirmed();
            }
        }
    }

    fn replicate(&mut self, at: usize) {
        let in_flight = self.network.len();
        self.pull(at);
        while self.network.len() > in_flight {
            let message = self.network.remove(in_flight);
            self.deliver(message);
        }
        self.check_confirmed();
    }

    fn deliver(&mut self, message: Message) {
        match message {
            Message::Call(call) => {
                let answer = self.execute(&call);
                if let Some(answer) = answer {
                    self.network.push(Message::CommandReply(call, answer));
                }
            }
            Message::CommandReply(call, answer) => self.answer(&call, answer),
            Message::Pull(at, pull) => {
                if self.members[at].up
                    && let Some(reply) = self.members[at].handle_pull(&pull)
                {
                    self.network.push(Message::PullReply(pull, reply));
                }
            }
            Message::PullReply(pull, reply) => {
                if self.members[pull.from].up {
                    self.members[pull.from].handle_reply(&pull, reply);
                }
            }
        }
    }

    fn execute(&mut self, call: &Call) -> Option<CommandReply> {
        let candidate = format!("c{}/{}", call.from.0, call.from.1);
        let entry = self.next_entry;
        self.next_entry += 1;
        let member = &mut self.members[call.member];
        if !member.up {
            return None;
        }
        let before = member.role;
        let answer = match &call.command {
            MemberCommand::Fence => member.fence(call.term, &candidate),
            MemberCommand::Promote => member.promote(call.term, &candidate, entry),
            MemberCommand::Follow(primary) => member.follow(call.term, member_index(primary)),
        };
        if before != Role::Primary && member.role == Role::Primary {
            self.record_primary(call.member);
        }
        Some(answer)
    }

    fn record_primary(&mut self, at: usize) {
        let member = &self.members[at];
        let other = self.primaries.insert(member.term, at);
        assert_eq!(other, None, "two primaries in term {}", member.term);
        // Only entries confirmed in older terms are required: a delayed promotion in a term that a
        // majority has left is harmless, since no member follows that primary.
        let older = self
            .confirmed_lengths
            .range(..member.term)
            .map(|(_, length)| *length);
        let confirmed = &self.confirmed[..older.max().unwrap_or(0)];
        assert!(
            member.log.starts_with(confirmed),
            "m{at} became primary of term {} without the entries confirmed in older terms",
            member.term
        );
    }

    fn answer(&mut self, call: &Call, answer: CommandReply) {
        let (at, incarnation) = call.from;
        let candidate = &mut self.candidates[at];
        if candidate.incarnation != incarnation {
            return;
        }
        let (member, now) = (member_name(call.member), candidate.now);
        let actions = candidate
            .election
            .on_answer(&member, call.term, answer, now);
        self.send(at, actions);
    }

    pub(crate) fn deliver_all(&mut self) {
        while !self.network.is_empty() {
            self.step(&Step::Deliver(0));
        }
    }

    pub(crate) fn primary_count(&self) -> usize {
        self.primaries.len()
    }
}

fn candidate(at: usize, incarnation: u64) -> Candidate {
    let members = (0..3).map(member_name).collect();
    let seed = at as u64 * 1000 + incarnation;
    let mut election = Election::new(members, ElectionTimeouts::default(), seed);
    election.on_term(1);
    Candidate {
        election,
        incarnation,
        now: Duration::ZERO,
    }
}

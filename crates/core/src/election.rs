//! Replaces the primary of a database group: fences a majority of the members, promotes the one
//! with the newest log and points the others at it.
//!
//! Safety rests on the members. A member grants a term to one candidate, stops taking part in
//! older terms when it does, and is promoted only by that candidate. Any two majorities share a
//! member, so the fenced ones hold every confirmed entry, and the newest log among them contains
//! it. This module adds one rule: a candidate promotes at most one member in a term.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::ids::MemberId;
use crate::ids::Term;
use crate::role::Role;
use crate::verb::Answer;
use crate::verb::LogEnd;
use crate::verb::MemberStatus;
use crate::verb::Verb;

/// What the caller has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Call a verb on a member and hand back the answer with the same term and member.
    Call {
        member: MemberId,
        term: Term,
        verb: Verb,
    },
    /// The member is the primary of the term.
    Elected { member: MemberId, term: Term },
    /// An attempt was given up; another starts if the group still needs a primary.
    Abandoned { term: Term },
}

/// Times of an election.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Timing {
    /// Wait for the rest of the grants once there is a majority.
    pub settle: Duration,
    /// Time after which an unanswered call is repeated.
    pub repeat: Duration,
    /// Longest time for each step of an attempt.
    pub step: Duration,
    /// Longest time for pointing the members at the new primary; the repair does the rest.
    pub follow: Duration,
    /// Range of the first back-off after a failed attempt.
    pub back_off: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            settle: Duration::from_millis(50),
            repeat: Duration::from_millis(300),
            step: Duration::from_millis(1000),
            follow: Duration::from_millis(3000),
            back_off: Duration::from_millis(200),
        }
    }
}

/// Failed attempts after which the back-off grows no further.
const BACK_OFF_STEPS: u32 = 4;

#[derive(Debug)]
enum Phase {
    Idle,
    Waiting {
        since: Duration,
        until: Duration,
    },
    Fencing {
        grants: BTreeMap<MemberId, LogEnd>,
        refused: BTreeSet<MemberId>,
        settled: Option<Duration>,
    },
    Promoting {
        winner: MemberId,
    },
    Following {
        primary: MemberId,
        pending: BTreeSet<MemberId>,
    },
}

/// A daemon's part in the elections of one database group.
#[derive(Debug)]
pub struct Election {
    members: Vec<MemberId>,
    timing: Timing,
    rng: StdRng,
    /// Member that wins among equal logs.
    preferred: Option<MemberId>,
    /// Members that win only if no other log is as new, since they are out of service.
    avoided: BTreeSet<MemberId>,
    /// Term of the current attempt, or of the last one. No attempt uses a term twice.
    term: Term,
    /// Highest term heard of or used.
    highest: Term,
    phase: Phase,
    deadline: Duration,
    /// When unanswered calls are repeated.
    repeat: Duration,
    failures: u32,
}

impl Election {
    pub fn new(members: Vec<MemberId>, timing: Timing, seed: u64) -> Self {
        Self {
            members,
            timing,
            rng: StdRng::seed_from_u64(seed),
            preferred: None,
            avoided: BTreeSet::new(),
            term: 0,
            highest: 0,
            phase: Phase::Idle,
            deadline: Duration::ZERO,
            repeat: Duration::ZERO,
            failures: 0,
        }
    }

    /// Whether an attempt is under way or due.
    pub fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Idle)
    }

    pub fn set_preferred(&mut self, preferred: Option<MemberId>) {
        self.preferred = preferred;
    }

    pub fn set_avoided(&mut self, avoided: BTreeSet<MemberId>) {
        self.avoided = avoided;
    }

    /// Notes a term that some member has reached.
    pub fn on_term(&mut self, term: Term) {
        self.highest = self.highest.max(term);
    }

    /// Says whether the group needs a new primary. The first attempt starts after `delay`, by
    /// which the daemons take turns; a later call may change it. An attempt that has begun to fence is carried on, since
    /// giving up would leave the group without a primary.
    pub fn on_need(&mut self, needed: bool, delay: Duration, now: Duration) {
        match (&mut self.phase, needed) {
            (Phase::Idle, true) => {
                self.phase = Phase::Waiting {
                    since: now,
                    until: now + delay,
                };
            }
            (Phase::Waiting { since, until }, true) if self.failures == 0 => {
                *until = *since + delay;
            }
            (Phase::Waiting { .. }, false) => {
                self.phase = Phase::Idle;
                self.failures = 0;
            }
            _ => {}
        }
    }

    /// When `on_tick` is due next.
    pub fn next_tick(&self) -> Option<Duration> {
        match &self.phase {
            Phase::Idle => None,
            Phase::Waiting { until, .. } => Some(*until),
            Phase::Fencing { settled, .. } => {
                let due = self.deadline.min(self.repeat);
                Some(settled.map_or(due, |settled| settled.min(due)))
            }
            _ => Some(self.deadline.min(self.repeat)),
        }
    }

    pub fn on_tick(&mut self, now: Duration) -> Vec<Action> {
        match &self.phase {
            Phase::Idle => Vec::new(),
            Phase::Waiting { until, .. } if now >= *until => self.fence(now),
            Phase::Waiting { .. } => Vec::new(),
            Phase::Fencing {
                settled: Some(settled),
                ..
            } if now >= *settled => self.promote(now),
            Phase::Following { .. } if now >= self.deadline => {
                self.phase = Phase::Idle;
                Vec::new()
            }
            _ if now >= self.deadline => self.abandon(now),
            _ if now >= self.repeat => self.calls(now),
            _ => Vec::new(),
        }
    }

    /// Takes the answer to a call of this term; answers of earlier attempts are ignored.
    pub fn on_answer(
        &mut self,
        member: &MemberId,
        term: Term,
        answer: Answer,
        now: Duration,
    ) -> Vec<Action> {
        let seen = match &answer {
            Answer::Fence { term, .. } | Answer::Promote { term, .. } => *term,
            _ => 0,
        };
        self.highest = self.highest.max(seen);
        if term != self.term {
            return Vec::new();
        }
        let deciding = matches!(self.phase, Phase::Fencing { .. } | Phase::Promoting { .. });
        if seen > self.term && deciding {
            return self.abandon(now);
        }
        match (&mut self.phase, answer) {
            (
                Phase::Fencing {
                    grants, refused, ..
                },
                Answer::Fence { granted, end, .. },
            ) => {
                if granted {
                    grants.insert(member.clone(), end);
                } else {
                    refused.insert(member.clone());
                }
                self.count(now)
            }
            (Phase::Promoting { winner }, Answer::Promote { ok, .. }) if winner == member => {
                if ok {
                    self.follow(now)
                } else {
                    self.abandon(now)
                }
            }
            (Phase::Following { pending, .. }, Answer::Follow { .. }) => {
                // A refusal means that the member has moved on to a newer term.
                pending.remove(member);
                if pending.is_empty() {
                    self.phase = Phase::Idle;
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Points members at the primary that have not been told of it, or have missed its election.
    pub fn repair(&mut self, statuses: &BTreeMap<MemberId, MemberStatus>) -> Vec<Action> {
        let term = statuses.values().map(|s| s.term).max().unwrap_or(0);
        self.on_term(term);
        let leads = |s: &MemberStatus| s.role == Role::Primary && s.term == term;
        let Some((primary, _)) = statuses.iter().find(|(_, s)| leads(s)) else {
            return Vec::new();
        };
        let behind = |s: &MemberStatus| s.term < term || s.role == Role::Fenced;
        statuses
            .iter()
            .filter(|(_, status)| behind(status))
            .map(|(member, _)| Action::Call {
                member: member.clone(),
                term,
                verb: Verb::Follow(primary.clone()),
            })
            .collect()
    }

    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    fn enter(&mut self, phase: Phase, limit: Duration, now: Duration) -> Vec<Action> {
        self.phase = phase;
        self.deadline = now + limit;
        self.calls(now)
    }

    fn fence(&mut self, now: Duration) -> Vec<Action> {
        self.highest += 1;
        self.term = self.highest;
        let phase = Phase::Fencing {
            grants: BTreeMap::new(),
            refused: BTreeSet::new(),
            settled: None,
        };
        self.enter(phase, self.timing.step, now)
    }

    /// Calls that are not answered yet.
    fn calls(&mut self, now: Duration) -> Vec<Action> {
        self.repeat = now + self.timing.repeat;
        let (targets, verb): (Vec<&MemberId>, Verb) = match &self.phase {
            Phase::Fencing {
                grants, refused, ..
            } => {
                let open = |m: &&MemberId| !grants.contains_key(*m) && !refused.contains(*m);
                (self.members.iter().filter(open).collect(), Verb::Fence)
            }
            Phase::Promoting { winner } => (vec![winner], Verb::Promote),
            Phase::Following { primary, pending } => {
                (pending.iter().collect(), Verb::Follow(primary.clone()))
            }
            _ => return Vec::new(),
        };
        let call = |member: &MemberId| Action::Call {
            member: member.clone(),
            term: self.term,
            verb: verb.clone(),
        };
        targets.into_iter().map(call).collect()
    }

    fn count(&mut self, now: Duration) -> Vec<Action> {
        let majority = self.majority();
        let Phase::Fencing {
            grants,
            refused,
            settled,
        } = &mut self.phase
        else {
            return Vec::new();
        };
        if refused.len() > self.members.len() - majority {
            return self.abandon(now);
        }
        if grants.len() < majority {
            return Vec::new();
        }
        if grants.len() + refused.len() == self.members.len() {
            return self.promote(now);
        }
        settled.get_or_insert(now + self.timing.settle);
        Vec::new()
    }

    fn promote(&mut self, now: Duration) -> Vec<Action> {
        let Phase::Fencing { grants, .. } = &self.phase else {
            return Vec::new();
        };
        let rank = |member: &MemberId| {
            let preferred = self.preferred.as_ref() == Some(member);
            (!self.avoided.contains(member), preferred)
        };
        let best = grants
            .iter()
            .max_by_key(|(member, end)| (**end, rank(member)));
        let Some((winner, _)) = best else {
            return self.abandon(now);
        };
        let winner = winner.clone();
        self.enter(Phase::Promoting { winner }, self.timing.step, now)
    }

    fn follow(&mut self, now: Duration) -> Vec<Action> {
        let Phase::Promoting { winner } = &self.phase else {
            return Vec::new();
        };
        let primary = winner.clone();
        self.failures = 0;
        let mut actions = vec![Action::Elected {
            member: primary.clone(),
            term: self.term,
        }];
        let others = self.members.iter().filter(|member| **member != primary);
        let pending: BTreeSet<MemberId> = others.cloned().collect();
        if pending.is_empty() {
            self.phase = Phase::Idle;
            return actions;
        }
        let phase = Phase::Following { primary, pending };
        actions.extend(self.enter(phase, self.timing.follow, now));
        actions
    }

    /// Gives up the attempt and waits for a random time, so that candidates that stopped each
    /// other do not meet again.
    fn abandon(&mut self, now: Duration) -> Vec<Action> {
        self.failures += 1;
        let range = self.timing.back_off * self.failures.min(BACK_OFF_STEPS);
        let wait = self.timing.back_off / 2 + range.mul_f64(self.rng.random());
        self.phase = Phase::Waiting {
            since: now,
            until: now + wait,
        };
        vec![Action::Abandoned { term: self.term }]
    }
}

//! Elects a new primary of a database group: fences a majority of the members, promotes the one of
//! them with the newest log and makes the others follow it.
//!
//! Most of the safety rules are enforced by the members. A member grants a term to one candidate
//! only, takes no part in older terms from then on, and is promoted only by that candidate. Any two
//! majorities have a member in common, so every confirmed entry is on a fenced member, and the
//! newest log among them contains it. This module adds one rule: a candidate promotes at most one
//! member per term.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::ids::MemberId;
use crate::ids::Term;
use crate::member_command::CommandReply;
use crate::member_command::LogEnd;
use crate::member_command::MemberCommand;
use crate::member_command::MemberStatus;
use crate::role::Role;

/// Action that the caller must perform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ElectionAction {
    /// Call a member, and pass its answer to [`Election::on_answer`] with the same member and term.
    Call {
        member: MemberId,
        term: Term,
        command: MemberCommand,
    },
    /// The member has become the primary of the term.
    Elected { member: MemberId, term: Term },
    /// The attempt has failed. Another one starts if the group still needs a primary.
    Abandoned { term: Term },
}

/// Timeouts and intervals of an election.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ElectionTimeouts {
    /// Time for which a candidate with a majority of grants waits for the remaining answers.
    pub grant_wait: Duration,
    /// Interval at which unanswered calls are retried.
    pub retry_interval: Duration,
    /// Time limit for fencing, and again for promoting.
    pub step_timeout: Duration,
    /// Time limit for telling the members to follow the new primary. [`Election::repair`] reaches
    /// those that did not answer by then.
    pub follow_timeout: Duration,
    /// Range of the random backoff after the first failed attempt.
    pub initial_backoff: Duration,
}

impl Default for ElectionTimeouts {
    fn default() -> Self {
        Self {
            grant_wait: Duration::from_millis(50),
            retry_interval: Duration::from_millis(300),
            step_timeout: Duration::from_millis(1000),
            follow_timeout: Duration::from_millis(3000),
            initial_backoff: Duration::from_millis(200),
        }
    }
}

/// Maximum factor by which failed attempts multiply the backoff range.
const MAX_BACKOFF_FACTOR: u32 = 4;

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
        promote_at: Option<Duration>,
    },
    Promoting {
        winner: MemberId,
    },
    Following {
        primary: MemberId,
        pending: BTreeSet<MemberId>,
    },
}

/// Candidate of one daemon in the elections of one database group.
#[derive(Debug)]
pub struct Election {
    members: Vec<MemberId>,
    timing: ElectionTimeouts,
    rng: StdRng,
    /// Member preferred among those with equal logs.
    preferred: Option<MemberId>,
    /// Members out of service. One of them is promoted only if no other log is as new.
    last_choice: BTreeSet<MemberId>,
    /// Term of the current or the latest attempt. No two attempts use the same term.
    term: Term,
    /// Highest term that was observed or used.
    highest_term: Term,
    phase: Phase,
    deadline: Duration,
    /// Time at which unanswered calls are retried.
    retry_at: Duration,
    failures: u32,
}

impl Election {
    pub fn new(members: Vec<MemberId>, timing: ElectionTimeouts, seed: u64) -> Self {
        Self {
            members,
            timing,
            rng: StdRng::seed_from_u64(seed),
            preferred: None,
            last_choice: BTreeSet::new(),
            term: 0,
            highest_term: 0,
            phase: Phase::Idle,
            deadline: Duration::ZERO,
            retry_at: Duration::ZERO,
            failures: 0,
        }
    }

    /// Whether an attempt is in progress or scheduled.
    pub fn is_active(&self) -> bool {
        !matches!(self.phase, Phase::Idle)
    }

    pub fn set_preferred(&mut self, preferred: Option<MemberId>) {
        self.preferred = preferred;
    }

    pub fn set_last_choice(&mut self, last_choice: BTreeSet<MemberId>) {
        self.last_choice = last_choice;
    }

    /// Records a term that some member has reached.
    pub fn on_term(&mut self, term: Term) {
        self.highest_term = self.highest_term.max(term);
    }

    /// Sets whether the group needs a new primary. The first attempt starts after `delay`, which
    /// differs between the daemons so that their attempts do not collide. A later call may change
    /// the delay. An attempt that has begun to fence continues even if it is no longer needed,
    /// since abandoning it would leave the group without a primary.
    pub fn set_primary_needed(&mut self, needed: bool, delay: Duration, now: Duration) {
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

    /// Time at which [`Self::on_tick`] must be called next; `None` if nothing is scheduled.
    pub fn next_tick(&self) -> Option<Duration> {
        match &self.phase {
            Phase::Idle => None,
            Phase::Waiting { until, .. } => Some(*until),
            Phase::Fencing { promote_at, .. } => {
                let due = self.deadline.min(self.retry_at);
                Some(promote_at.map_or(due, |promote_at| promote_at.min(due)))
            }
            _ => Some(self.deadline.min(self.retry_at)),
        }
    }

    pub fn on_tick(&mut self, now: Duration) -> Vec<ElectionAction> {
        match &self.phase {
            Phase::Idle => Vec::new(),
            Phase::Waiting { until, .. } if now >= *until => self.start_fencing(now),
            Phase::Waiting { .. } => Vec::new(),
            Phase::Fencing {
                promote_at: Some(promote_at),
                ..
            } if now >= *promote_at => self.start_promotion(now),
            Phase::Following { .. } if now >= self.deadline => {
                self.phase = Phase::Idle;
                Vec::new()
            }
            _ if now >= self.deadline => self.abandon_attempt(now),
            _ if now >= self.retry_at => self.pending_calls(now),
            _ => Vec::new(),
        }
    }

    /// Handles the answer to a call that was made in `term`. Answers to earlier attempts are
    /// ignored, apart from the term that they report.
    pub fn on_answer(
        &mut self,
        member: &MemberId,
        term: Term,
        answer: CommandReply,
        now: Duration,
    ) -> Vec<ElectionAction> {
        let reported_term = match &answer {
            CommandReply::Fence { term, .. } | CommandReply::Promote { term, .. } => *term,
            _ => 0,
        };
        self.highest_term = self.highest_term.max(reported_term);
        if term != self.term {
            return Vec::new();
        }
        let before_election = matches!(self.phase, Phase::Fencing { .. } | Phase::Promoting { .. });
        if reported_term > self.term && before_election {
            return self.abandon_attempt(now);
        }
        match (&mut self.phase, answer) {
            (
                Phase::Fencing {
                    grants, refused, ..
                },
                CommandReply::Fence { granted, end, .. },
            ) => {
                if granted {
                    grants.insert(member.clone(), end);
                } else {
                    refused.insert(member.clone());
                }
                self.evaluate_grants(now)
            }
            (Phase::Promoting { winner }, CommandReply::Promote { ok, .. }) if winner == member => {
                if ok {
                    self.start_following(now)
                } else {
                    self.abandon_attempt(now)
                }
            }
            (Phase::Following { pending, .. }, CommandReply::Follow { .. }) => {
                // A refusal means that the member has joined a newer term.
                pending.remove(member);
                if pending.is_empty() {
                    self.phase = Phase::Idle;
                }
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    /// Calls that make members follow the current primary if they are in an older term or still
    /// fenced, because they missed its election or the call to follow it.
    pub fn repair(&mut self, statuses: &BTreeMap<MemberId, MemberStatus>) -> Vec<ElectionAction> {
        let term = statuses.values().map(|s| s.term).max().unwrap_or(0);
        self.on_term(term);
        let is_current_primary = |s: &MemberStatus| s.role == Role::Primary && s.term == term;
        let Some((primary, _)) = statuses.iter().find(|(_, s)| is_current_primary(s)) else {
            return Vec::new();
        };
        let needs_follow = |s: &MemberStatus| s.term < term || s.role == Role::Fenced;
        statuses
            .iter()
            .filter(|(_, status)| needs_follow(status))
            .map(|(member, _)| ElectionAction::Call {
                member: member.clone(),
                term,
                command: MemberCommand::Follow(primary.clone()),
            })
            .collect()
    }

    fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    fn enter_phase(&mut self, phase: Phase, limit: Duration, now: Duration) -> Vec<ElectionAction> {
        self.phase = phase;
        self.deadline = now + limit;
        self.pending_calls(now)
    }

    fn start_fencing(&mut self, now: Duration) -> Vec<ElectionAction> {
        self.highest_term += 1;
        self.term = self.highest_term;
        let phase = Phase::Fencing {
            grants: BTreeMap::new(),
            refused: BTreeSet::new(),
            promote_at: None,
        };
        self.enter_phase(phase, self.timing.step_timeout, now)
    }

    /// Returns the calls of the current phase that are not answered yet, and schedules their retry.
    fn pending_calls(&mut self, now: Duration) -> Vec<ElectionAction> {
        self.retry_at = now + self.timing.retry_interval;
        let (targets, command): (Vec<&MemberId>, MemberCommand) = match &self.phase {
            Phase::Fencing {
                grants, refused, ..
            } => {
                let unanswered = |m: &&MemberId| !grants.contains_key(*m) && !refused.contains(*m);
                (
                    self.members.iter().filter(unanswered).collect(),
                    MemberCommand::Fence,
                )
            }
            Phase::Promoting { winner } => (vec![winner], MemberCommand::Promote),
            Phase::Following { primary, pending } => (
                pending.iter().collect(),
                MemberCommand::Follow(primary.clone()),
            ),
            _ => return Vec::new(),
        };
        let call = |member: &MemberId| ElectionAction::Call {
            member: member.clone(),
            term: self.term,
            command: command.clone(),
        };
        targets.into_iter().map(call).collect()
    }

    fn evaluate_grants(&mut self, now: Duration) -> Vec<ElectionAction> {
        let majority = self.majority();
        let Phase::Fencing {
            grants,
            refused,
            promote_at,
        } = &mut self.phase
        else {
            return Vec::new();
        };
        if refused.len() > self.members.len() - majority {
            return self.abandon_attempt(now);
        }
        if grants.len() < majority {
            return Vec::new();
        }
        if grants.len() + refused.len() == self.members.len() {
            return self.start_promotion(now);
        }
        promote_at.get_or_insert(now + self.timing.grant_wait);
        Vec::new()
    }

    fn start_promotion(&mut self, now: Duration) -> Vec<ElectionAction> {
        let Phase::Fencing { grants, .. } = &self.phase else {
            return Vec::new();
        };
        let rank = |member: &MemberId| {
            let preferred = self.preferred.as_ref() == Some(member);
            (!self.last_choice.contains(member), preferred)
        };
        let best = grants
            .iter()
            .max_by_key(|(member, end)| (**end, rank(member)));
        let Some((winner, _)) = best else {
            return self.abandon_attempt(now);
        };
        let winner = winner.clone();
        self.enter_phase(Phase::Promoting { winner }, self.timing.step_timeout, now)
    }

    fn start_following(&mut self, now: Duration) -> Vec<ElectionAction> {
        let Phase::Promoting { winner } = &self.phase else {
            return Vec::new();
        };
        let primary = winner.clone();
        self.failures = 0;
        let mut actions = vec![ElectionAction::Elected {
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
        actions.extend(self.enter_phase(phase, self.timing.follow_timeout, now));
        actions
    }

    /// Ends the attempt and backs off for a random time, so that candidates that blocked each other
    /// do not collide again.
    fn abandon_attempt(&mut self, now: Duration) -> Vec<ElectionAction> {
        self.failures += 1;
        let range = self.timing.initial_backoff * self.failures.min(MAX_BACKOFF_FACTOR);
        let wait = self.timing.initial_backoff / 2 + range.mul_f64(self.rng.random());
        self.phase = Phase::Waiting {
            since: now,
            until: now + wait,
        };
        vec![ElectionAction::Abandoned { term: self.term }]
    }
}

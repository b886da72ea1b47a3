//! Model of a database member, as section 5 of the design page describes it.

use std::collections::BTreeMap;

use magnoliahatch_core::ids::LogIndex;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::role::Role;
use magnoliahatch_core::verb::Answer;
use magnoliahatch_core::verb::LogEnd;
use magnoliahatch_core::verb::MemberStatus;

/// An entry: its term and a number that no other entry has.
pub(crate) type Entry = (Term, u64);

#[derive(Debug, Clone)]
pub(crate) struct Member {
    pub(crate) up: bool,
    pub(crate) role: Role,
    pub(crate) term: Term,
    pub(crate) candidate: String,
    pub(crate) log: Vec<Entry>,
    pub(crate) upstream: Option<usize>,
    pub(crate) term_start: usize,
    /// Positions confirmed by the followers; lost in a crash.
    pub(crate) followers: BTreeMap<usize, usize>,
}

/// A replica's pull on its way to the primary.
#[derive(Debug, Clone)]
pub(crate) struct Pull {
    pub(crate) from: usize,
    pub(crate) term: Term,
    pub(crate) end: LogEnd,
}

/// Answer to a pull.
#[derive(Debug, Clone)]
pub(crate) enum Pulled {
    Entries(Vec<Entry>),
    Diverged(usize),
}

impl Member {
    pub(crate) fn new(role: Role, upstream: Option<usize>) -> Self {
        Self {
            up: true,
            role,
            term: 1,
            candidate: "start".to_owned(),
            log: vec![(1, 0)],
            upstream,
            term_start: 1,
            followers: BTreeMap::new(),
        }
    }

    pub(crate) fn end(&self) -> LogEnd {
        LogEnd {
            last_term: self.log.last().map_or(0, |entry| entry.0),
            received: self.log.len() as LogIndex,
        }
    }

    pub(crate) fn status(&self) -> MemberStatus {
        MemberStatus {
            role: self.role,
            term: self.term,
            end: self.end(),
        }
    }

    pub(crate) fn restart(&mut self) {
        self.up = true;
        self.followers.clear();
    }

    pub(crate) fn fence(&mut self, term: Term, candidate: &str) -> Answer {
        if term > self.term {
            self.role = Role::Fenced;
            self.term = term;
            self.candidate = candidate.to_owned();
            self.upstream = None;
            self.followers.clear();
        }
        Answer::Fence {
            granted: term == self.term && candidate == self.candidate,
            term: self.term,
            end: self.end(),
        }
    }

    pub(crate) fn promote(&mut self, term: Term, candidate: &str, entry: u64) -> Answer {
        let granted = term == self.term && candidate == self.candidate;
        let ok = granted && self.role != Role::Replica;
        if ok && self.role == Role::Fenced {
            self.role = Role::Primary;
            self.log.push((term, entry));
            self.term_start = self.log.len();
        }
        Answer::Promote {
            ok,
            term: self.term,
        }
    }

    pub(crate) fn follow(&mut self, term: Term, upstream: usize) -> Answer {
        let leads = self.role == Role::Primary && self.term == term;
        let ok = term >= self.term && !leads;
        if ok {
            if term > self.term {
                self.term = term;
                self.candidate.clear();
                self.followers.clear();
            }
            self.role = Role::Replica;
            self.upstream = Some(upstream);
        }
        Answer::Follow { ok }
    }

    pub(crate) fn confirmed(&self) -> usize {
        let highest = self.followers.values().copied().max().unwrap_or(0);
        let own = self.role == Role::Primary && highest >= self.term_start;
        if own { highest } else { 0 }
    }

    /// Serves a pull, if this member is the primary of its term.
    pub(crate) fn serve(&mut self, pull: &Pull) -> Option<Pulled> {
        if self.role != Role::Primary || self.term != pull.term {
            return None;
        }
        let position = pull.end.received as usize;
        let matches = match position.checked_sub(1) {
            None => true,
            Some(at) => self.log.get(at).is_some_and(|e| e.0 == pull.end.last_term),
        };
        if !matches {
            let before = self.log.iter().take(position.saturating_sub(1));
            let older = before.filter(|entry| entry.0 <= pull.end.last_term);
            return Some(Pulled::Diverged(older.count()));
        }
        let confirmed = self.followers.entry(pull.from).or_default();
        *confirmed = position.max(*confirmed);
        // One entry at a time, so that a follower can stop at any of them.
        Some(Pulled::Entries(
            self.log[position..].iter().take(1).copied().collect(),
        ))
    }

    /// Takes the answer to a pull, unless the member has moved on since it was sent.
    pub(crate) fn receive(&mut self, pull: &Pull, pulled: Pulled) {
        if self.role != Role::Replica || self.term != pull.term || self.end() != pull.end {
            return;
        }
        match pulled {
            Pulled::Entries(entries) => self.log.extend(entries),
            Pulled::Diverged(at) => self.log.truncate(at),
        }
    }
}

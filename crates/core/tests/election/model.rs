//! Reference model of a database member, after section 5 of the design document.

use std::collections::BTreeMap;

use magnoliahatch_core::ids::LogIndex;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::member_command::CommandReply;
use magnoliahatch_core::member_command::LogEnd;
use magnoliahatch_core::member_command::MemberStatus;
use magnoliahatch_core::role::Role;

/// Log entry: its term and a unique number.
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
    /// Log lengths that the followers have confirmed. Kept in memory only, so lost in a crash.
    pub(crate) follower_positions: BTreeMap<usize, usize>,
}

/// Request of a replica for the entries after the end of its log.
#[derive(Debug, Clone)]
pub(crate) struct Pull {
    pub(crate) from: usize,
    pub(crate) term: Term,
    pub(crate) end: LogEnd,
}

/// Reply of the primary to a pull.
#[derive(Debug, Clone)]
pub(crate) enum PullReply {
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
            follower_positions: BTreeMap::new(),
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
        self.follower_positions.clear();
    }

    pub(crate) fn fence(&mut self, term: Term, candidate: &str) -> CommandReply {
        if term > self.term {
            self.role = Role::Fenced;
            self.term = term;
            self.candidate = candidate.to_owned();
            self.upstream = None;
            self.follower_positions.clear();
        }
        CommandReply::Fence {
            granted: term == self.term && candidate == self.candidate,
            term: self.term,
            end: self.end(),
        }
    }

    pub(crate) fn promote(&mut self, term: Term, candidate: &str, entry: u64) -> CommandReply {
        let granted = term == self.term && candidate == self.candidate;
        let ok = granted && self.role != Role::Replica;
        if ok && self.role == Role::Fenced {
            self.role = Role::Primary;
            self.log.push((term, entry));
            self.term_start = self.log.len();
        }
        CommandReply::Promote {
            ok,
            term: self.term,
        }
    }

    pub(crate) fn follow(&mut self, term: Term, upstream: usize) -> CommandReply {
        let is_primary_of_term = self.role == Role::Primary && self.term == term;
        let ok = term >= self.term && !is_primary_of_term;
        if ok {
            if term > self.term {
                self.term = term;
                self.candidate.clear();
                self.follower_positions.clear();
            }
            self.role = Role::Replica;
            self.upstream = Some(upstream);
        }
        CommandReply::Follow { ok }
    }

    pub(crate) fn confirmed(&self) -> usize {
        let highest = self.follower_positions.values().copied().max().unwrap_or(0);
        let has_confirmed_own_entry = self.role == Role::Primary && highest >= self.term_start;
        if has_confirmed_own_entry { highest } else { 0 }
    }

    /// Handles a pull; no reply unless this member is the primary of the pull's term.
    pub(crate) fn handle_pull(&mut self, pull: &Pull) -> Option<PullReply> {
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
            let at_most_last_term = before.filter(|entry| entry.0 <= pull.end.last_term);
            return Some(PullReply::Diverged(at_most_last_term.count()));
        }
        let confirmed = self.follower_positions.entry(pull.from).or_default();
        *confirmed = position.max(*confirmed);
        // Sends one entry at a time, so that a follower can stop after any entry.
        Some(PullReply::Entries(
            self.log[position..].iter().take(1).copied().collect(),
        ))
    }

    /// Applies the reply to a pull, unless the member's role, term or log has changed since the
    /// pull was sent.
    pub(crate) fn handle_reply(&mut self, pull: &Pull, reply: PullReply) {
        if self.role != Role::Replica || self.term != pull.term || self.end() != pull.end {
            return;
        }
        match reply {
            PullReply::Entries(entries) => self.log.extend(entries),
            PullReply::Diverged(at) => self.log.truncate(at),
        }
    }
}

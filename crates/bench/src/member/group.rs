//! State of a member in its group: role, grants, log and confirmations.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;

use magnoliahatch_core::ids::LogIndex;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use serde::Deserialize;
use serde::Serialize;

use crate::member::Role;
use crate::member::SqlError;
use crate::member::log::Entry;
use crate::member::log::Log;
use crate::member::log::LoggedStatement;
use crate::member::settings::Start;

/// Entries of one answer to a pull.
const PULL_ENTRIES: usize = 500;

/// What survives the end of the process besides the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Durable {
    pub(crate) role: Role,
    /// Highest term that this member has granted or taken part in.
    pub(crate) term: Term,
    /// To whom it was granted; empty if it was learnt from `platform_follow`.
    pub(crate) candidate: String,
    /// Where a replica pulls from.
    pub(crate) upstream: Option<SocketAddr>,
    /// Index of the first entry of the term in which this member is the primary.
    pub(crate) term_start: LogIndex,
}

/// Answer to a pull.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Pulled {
    Entries(Vec<Entry>),
    /// The puller's log differs from the primary's; the puller must drop what follows the index.
    Diverged(LogIndex),
}

/// State of a member in its group.
#[derive(Debug)]
pub(crate) struct Group {
    path: PathBuf,
    pub(crate) durable: Durable,
    pub(crate) log: Log,
    /// Index visible to reads.
    pub(crate) applied: LogIndex,
    /// The applied state contains dropped entries and has to be built again from the log.
    pub(crate) rebuild: bool,
    /// Highest matching index that each follower holds, as known in this term.
    followers: BTreeMap<MemberId, LogIndex>,
}

impl Group {
    pub(crate) fn open(dir: &Path, start: Start) -> std::io::Result<Self> {
        let path = dir.join("group.json");
        let log = Log::open(&dir.join("log.jsonl"))?;
        let existing = path.exists();
        let durable = if existing {
            serde_json::from_slice(&std::fs::read(&path)?)?
        } else {
            let (role, term, upstream) = match start {
                Start::Primary => (Role::Primary, 1, None),
                Start::Follow(address) => (Role::Replica, 1, Some(address)),
                Start::Fenced => (Role::Fenced, 0, None),
            };
            Durable {
                role,
                term,
                candidate: "start".to_owned(),
                upstream,
                term_start: 1,
            }
        };
        let mut group = Self {
            path,
            durable,
            log,
            applied: 0,
            rebuild: true,
            followers: BTreeMap::new(),
        };
        if !existing {
            group.save()?;
        }
        // Also covers a process killed between recording its promotion and appending the entry.
        if group.durable.role == Role::Primary && group.log.last().term < group.durable.term {
            group.append(Vec::new())?;
        }
        Ok(group)
    }

    fn save(&self) -> std::io::Result<()> {
        let fresh = self.path.with_extension("new");
        std::fs::write(&fresh, serde_json::to_vec(&self.durable)?)?;
        std::fs::rename(fresh, &self.path)
    }

    /// Appends a committed transaction of this primary.
    pub(crate) fn append(&mut self, statements: Vec<LoggedStatement>) -> std::io::Result<LogIndex> {
        let index = self.log.last().index + 1;
        self.log.append(Entry {
            term: self.durable.term,
            index,
            statements,
        })?;
        Ok(index)
    }

    /// Whether reads may run: not while the state is built again, nor on a new primary that has
    /// not applied its whole log.
    pub(crate) fn ready(&self) -> bool {
        !self.rebuild
            && (self.durable.role != Role::Primary || self.applied >= self.durable.term_start)
    }

    /// Whether this member is the primary of a term.
    pub(crate) fn leads(&self, term: Term) -> bool {
        self.durable.role == Role::Primary && self.durable.term == term
    }

    /// Highest index of this primary's own term, or a later entry, that another member holds.
    pub(crate) fn confirmed(&self) -> LogIndex {
        if self.durable.role != Role::Primary {
            return 0;
        }
        let highest = self.followers.values().copied().max().unwrap_or(0);
        if highest >= self.durable.term_start {
            highest
        } else {
            0
        }
    }

    /// Grants a term at most once, to one candidate.
    pub(crate) fn fence(&mut self, term: Term, candidate: &str) -> std::io::Result<bool> {
        if term == self.durable.term {
            return Ok(!candidate.is_empty() && candidate == self.durable.candidate);
        }
        if term < self.durable.term {
            return Ok(false);
        }
        self.durable.role = Role::Fenced;
        self.durable.term = term;
        self.durable.candidate = candidate.to_owned();
        self.durable.upstream = None;
        self.followers.clear();
        self.save()?;
        Ok(true)
    }

    /// Becomes the primary of a term that was granted to the candidate. A repeated call succeeds.
    pub(crate) fn promote(&mut self, term: Term, candidate: &str) -> std::io::Result<bool> {
        if term != self.durable.term || candidate != self.durable.candidate {
            return Ok(false);
        }
        match self.durable.role {
            Role::Primary => return Ok(true),
            Role::Replica => return Ok(false),
            Role::Fenced => {}
        }
        self.durable.role = Role::Primary;
        self.durable.term_start = self.log.last().index + 1;
        self.save()?;
        self.append(Vec::new())?;
        Ok(true)
    }

    /// Follows the primary of a term. Any caller may point a member at the primary of the term
    /// that it has granted: the pull succeeds only at the one member promoted in that term.
    pub(crate) fn follow(&mut self, term: Term, address: SocketAddr) -> std::io::Result<bool> {
        if term < self.durable.term || self.leads(term) {
            return Ok(false);
        }
        if term > self.durable.term {
            // Taking part in a term grants it to nobody.
            self.durable.term = term;
            self.durable.candidate.clear();
            self.followers.clear();
        }
        self.durable.role = Role::Replica;
        self.durable.upstream = Some(address);
        self.save()?;
        Ok(true)
    }

    /// Serves a pull: checks that the follower's log matches, counts its position as confirmed
    /// and returns what follows.
    pub(crate) fn pull(
        &mut self,
        member: &str,
        term: Term,
        last_term: Term,
        position: LogIndex,
    ) -> Result<Pulled, SqlError> {
        if !self.leads(term) {
            return Err(SqlError::new(
                "55000",
                format!("this member is not the primary of term {term}"),
            ));
        }
        if self.log.term_at(position) != Some(last_term) {
            let limit = position.saturating_sub(1);
            return Ok(Pulled::Diverged(self.log.last_of(last_term, limit)));
        }
        let confirmed = self.followers.entry(member.to_owned()).or_default();
        *confirmed = position.max(*confirmed);
        Ok(Pulled::Entries(
            self.log.after(position, PULL_ENTRIES).cloned().collect(),
        ))
    }

    /// Takes the answer to a pull that was sent in `term` from `position`. An answer that arrives
    /// after a higher term was granted changes nothing.
    pub(crate) fn receive(
        &mut self,
        term: Term,
        position: LogIndex,
        pulled: Pulled,
    ) -> std::io::Result<()> {
        let last = self.log.last().index;
        if self.durable.role != Role::Replica || self.durable.term != term || last != position {
            return Ok(());
        }
        match pulled {
            Pulled::Entries(entries) => {
                for entry in entries {
                    self.log.append(entry)?;
                }
            }
            Pulled::Diverged(index) => {
                self.log.truncate(index)?;
                self.rebuild |= self.applied > index;
            }
        }
        Ok(())
    }
}

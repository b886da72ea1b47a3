//! What a session keeps between statements, independent of the connection that serves it.

use std::collections::BTreeMap;

use crate::class::Class;
use crate::prepared::Prepared;
use crate::variable::SetVariable;

/// Prepared statements that one session may keep.
const STATEMENTS_LIMIT: usize = 4096;

/// Transaction status as ReadyForQuery reports it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TxStatus {
    #[default]
    Idle,
    Open,
    Failed,
}

impl TxStatus {
    /// From the status byte of ReadyForQuery.
    pub fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            b'I' => Some(Self::Idle),
            b'T' => Some(Self::Open),
            b'E' => Some(Self::Failed),
            _ => None,
        }
    }

    /// Status byte of ReadyForQuery.
    pub fn as_byte(self) -> u8 {
        match self {
            Self::Idle => b'I',
            Self::Open => b'T',
            Self::Failed => b'E',
        }
    }
}

/// Variables, prepared statements and transaction status of one session.
#[derive(Debug, Default)]
pub struct Session {
    pub status: TxStatus,
    /// Values as SQL text by variable name, as of the last commit.
    variables: BTreeMap<String, String>,
    /// Changes made in the open transaction.
    pending: Vec<SetVariable>,
    /// Open savepoints and how many pending changes preceded each.
    savepoints: Vec<(String, usize)>,
    statements: BTreeMap<String, Prepared>,
}

impl Session {
    /// Variables to set on a connection before it serves this session.
    pub fn variables(&self) -> &BTreeMap<String, String> {
        &self.variables
    }

    /// Sets a variable outside any transaction, as startup options do.
    pub fn set_variable(&mut self, name: String, value: String) {
        self.variables.insert(name, value);
    }

    /// The endpoint completed a statement.
    pub fn on_complete(&mut self, class: &Class) {
        match class {
            Class::Set(change) if !change.local => self.pending.push(change.clone()),
            Class::Savepoint(name) => self.savepoints.push((name.clone(), self.pending.len())),
            Class::RollbackTo(name) => {
                if let Some(at) = self.savepoints.iter().rposition(|(open, _)| open == name) {
                    self.pending.truncate(self.savepoints[at].1);
                    self.savepoints.truncate(at + 1);
                }
            }
            // The statement that ends a block decides; what follows belongs to the next one.
            Class::Rollback => self.pending.clear(),
            Class::Commit => self.apply(),
            _ => {}
        }
    }

    /// The endpoint reported its status after a request. `failed` tells that the request ended
    /// with an error, which outside a block undoes the whole request.
    pub fn on_ready(&mut self, status: TxStatus, failed: bool) {
        if status == TxStatus::Idle {
            if failed || self.status == TxStatus::Failed {
                self.pending.clear();
            }
            self.apply();
        }
        self.status = status;
    }

    /// The connection of an open transaction was lost or given up; the endpoint rolls back.
    pub fn on_lost(&mut self) {
        self.pending.clear();
        self.savepoints.clear();
        self.status = TxStatus::Idle;
    }

    /// Stores a prepared statement; false if the session keeps too many.
    pub fn prepare(&mut self, name: String, statement: Prepared) -> bool {
        if self.statements.len() >= STATEMENTS_LIMIT && !self.statements.contains_key(&name) {
            return false;
        }
        self.statements.insert(name, statement);
        true
    }

    /// Prepared statement by the caller's name; the empty name is the unnamed statement.
    pub fn statement(&self, name: &str) -> Option<&Prepared> {
        self.statements.get(name)
    }

    /// Drops one prepared statement, or all.
    pub fn deallocate(&mut self, name: Option<&str>) {
        match name {
            Some(name) => {
                self.statements.remove(name);
            }
            None => self.statements.clear(),
        }
    }

    /// Forgets variables and prepared statements.
    pub fn discard(&mut self) {
        self.variables.clear();
        self.statements.clear();
    }

    fn apply(&mut self) {
        self.savepoints.clear();
        for change in self.pending.drain(..) {
            match change.value {
                Some(value) => {
                    self.variables.insert(change.name, value);
                }
                None if change.name.is_empty() => self.variables.clear(),
                None => {
                    self.variables.remove(&change.name);
                }
            }
        }
    }
}

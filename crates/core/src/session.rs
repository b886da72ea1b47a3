//! Session state that outlives a statement, independent of the connection that serves the session.

use std::collections::BTreeMap;

use crate::prepared::PreparedStatement;
use crate::statement_class::StatementClass;
use crate::variable::SetVariable;

/// Maximum number of prepared statements of a session.
const MAX_PREPARED_STATEMENTS: usize = 4096;

/// Transaction status as reported by the ReadyForQuery message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TxStatus {
    #[default]
    Idle,
    Open,
    Failed,
}

impl TxStatus {
    /// Decodes the status byte of ReadyForQuery.
    pub fn from_byte(byte: u8) -> Option<Self> {
        match byte {
            b'I' => Some(Self::Idle),
            b'T' => Some(Self::Open),
            b'E' => Some(Self::Failed),
            _ => None,
        }
    }

    /// Encodes the status byte of ReadyForQuery.
    pub fn as_byte(self) -> u8 {
        match self {
            Self::Idle => b'I',
            Self::Open => b'T',
            Self::Failed => b'E',
        }
    }
}

/// Variables, prepared statements and transaction status of a session.
#[derive(Debug, Default)]
pub struct Session {
    pub status: TxStatus,
    /// Values as SQL text by variable name, as of the latest commit.
    variables: BTreeMap<String, String>,
    /// Variable changes made in the open transaction.
    pending: Vec<SetVariable>,
    /// Open savepoints, each with the number of pending changes made before it.
    savepoints: Vec<(String, usize)>,
    statements: BTreeMap<String, PreparedStatement>,
}

impl Session {
    /// Variables that must be set on a connection before it serves this session.
    pub fn variables(&self) -> &BTreeMap<String, String> {
        &self.variables
    }

    /// Sets a variable outside of any transaction, as the startup message does.
    pub fn set_variable(&mut self, name: String, value: String) {
        self.variables.insert(name, value);
    }

    /// Handles the completion of a statement by the endpoint.
    pub fn on_complete(&mut self, class: &StatementClass) {
        match class {
            StatementClass::Set(change) if !change.local => self.pending.push(change.clone()),
            StatementClass::Savepoint(name) => {
                self.savepoints.push((name.clone(), self.pending.len()))
            }
            StatementClass::RollbackTo(name) => {
                if let Some(at) = self.savepoints.iter().rposition(|(open, _)| open == name) {
                    self.pending.truncate(self.savepoints[at].1);
                    self.savepoints.truncate(at + 1);
                }
            }
            // The statement that ends the transaction decides on the changes before it. Later
            // changes belong to the next transaction.
            StatementClass::Rollback => self.pending.clear(),
            StatementClass::Commit => self.apply_pending(),
            _ => {}
        }
    }

    /// Handles the status that the endpoint reports after a request. `failed` means that the
    /// request ended with an error, which outside a transaction block rolls back the whole request.
    pub fn on_ready(&mut self, status: TxStatus, failed: bool) {
        if status == TxStatus::Idle {
            if failed || self.status == TxStatus::Failed {
                self.pending.clear();
            }
            self.apply_pending();
        }
        self.status = status;
    }

    /// Handles the loss or abandonment of an open transaction's connection, after which the
    /// endpoint rolls the transaction back.
    pub fn on_connection_lost(&mut self) {
        self.pending.clear();
        self.savepoints.clear();
        self.status = TxStatus::Idle;
    }

    /// Stores a prepared statement; returns false if the session has too many.
    pub fn prepare(&mut self, name: String, statement: PreparedStatement) -> bool {
        if self.statements.len() >= MAX_PREPARED_STATEMENTS && !self.statements.contains_key(&name)
        {
            return false;
        }
        self.statements.insert(name, statement);
        true
    }

    /// Returns a prepared statement by the client's name for it. The empty name is the unnamed
    /// statement.
    pub fn statement(&self, name: &str) -> Option<&PreparedStatement> {
        self.statements.get(name)
    }

    /// Drops the named prepared statement, or all of them if there is no name.
    pub fn deallocate(&mut self, name: Option<&str>) {
        match name {
            Some(name) => {
                self.statements.remove(name);
            }
            None => self.statements.clear(),
        }
    }

    /// Drops all variables and prepared statements.
    pub fn discard(&mut self) {
        self.variables.clear();
        self.statements.clear();
    }

    fn apply_pending(&mut self) {
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

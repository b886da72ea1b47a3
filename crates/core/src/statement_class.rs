//! Classification of SQL statements by their effect.

use crate::variable::SetVariable;

/// Kind of a statement; decides where the proxy sends it and what it records about the session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementClass {
    /// Has no effect, so a replica may run it and it may be retried.
    Read,
    Write,
    Begin {
        read_only: bool,
    },
    Commit,
    Rollback,
    Savepoint(String),
    RollbackTo(String),
    /// Changes a session variable.
    Set(SetVariable),
    /// Drops the named prepared statement, or all of them if there is no name.
    Deallocate(Option<String>),
    /// Resets all session state.
    DiscardAll,
    /// Shows one of the proxy's own variables.
    Show(String),
    /// Refused, since the statement leaves state on its connection that a pooled connection cannot
    /// preserve, or since its effect is not known.
    Unsupported {
        statement: &'static str,
        alternative: &'static str,
    },
}

impl StatementClass {
    /// Whether a replica may run the statement.
    pub fn is_read(&self) -> bool {
        matches!(
            self,
            Self::Read | Self::Set(_) | Self::Begin { read_only: true }
        )
    }
}

//! Classes of SQL statements.

use crate::variable::SetVariable;

/// What the proxy needs to know about a statement before it sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Class {
    /// Changes nothing; a replica may run it, and it may be repeated.
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
    /// Drops prepared statements; all of them without a name.
    Deallocate(Option<String>),
    /// Resets everything that the session keeps.
    DiscardAll,
    /// Shows one of the proxy's own variables.
    Show(String),
    /// A pooled connection cannot preserve what the statement leaves behind.
    Unsupported {
        statement: &'static str,
        alternative: &'static str,
    },
}

impl Class {
    /// Whether a replica may run the statement.
    pub fn is_read(&self) -> bool {
        matches!(
            self,
            Self::Read | Self::Set(_) | Self::Begin { read_only: true }
        )
    }
}

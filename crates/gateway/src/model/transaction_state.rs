//! Transaction state of a session.

/// Transaction state of a session between statements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TransactionState {
    #[default]
    Idle,
    Open,
    /// The transaction failed; only its end is accepted.
    Failed,
}

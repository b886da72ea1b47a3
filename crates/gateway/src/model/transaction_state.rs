//! State of a session between statements.

/// What a session may do next.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum TransactionState {
    #[default]
    Idle,
    Open,
    /// Only the end of the transaction is accepted.
    Failed,
}

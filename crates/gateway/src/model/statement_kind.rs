//! Kinds of statements that differ in the time a member needs for them.

/// What a statement does at the member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StatementKind {
    Read,
    Write,
    Commit,
}

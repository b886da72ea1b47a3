//! Output formats.

/// Output formats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Aligned columns for people.
    Table,
    /// The answers of the API for programs.
    Json,
}

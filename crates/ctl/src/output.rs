//! Output format of reports.

/// Output format of reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Output {
    /// Table with aligned columns.
    Table,
    /// JSON responses of the administration API.
    Json,
}

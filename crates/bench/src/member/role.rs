//! Role of a member in its group.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// Role of a member in its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    Primary,
    Replica,
    /// Has granted a term whose primary it has not been told yet.
    Fenced,
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Primary => "primary",
            Self::Replica => "replica",
            Self::Fenced => "fenced",
        })
    }
}

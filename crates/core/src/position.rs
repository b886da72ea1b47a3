//! Positions in a database group's log.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::ids::LogIndex;
use crate::ids::Term;

/// Term and log index, ordered by term first: indexes are comparable only within the same term.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    pub term: Term,
    pub index: LogIndex,
}

/// The text is not of the form `term/index`.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("log position {0:?} is not of the form term/index")]
pub struct PositionError(pub String);

impl fmt::Display for LogPosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.term, self.index)
    }
}

impl FromStr for LogPosition {
    type Err = PositionError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || PositionError(text.to_owned());
        let (term, index) = text.split_once('/').ok_or_else(error)?;
        Ok(Self {
            term: term.parse().map_err(|_| error())?,
            index: index.parse().map_err(|_| error())?,
        })
    }
}

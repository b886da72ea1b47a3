//! What became of a request whose answer is not complete.

use std::fmt;

/// Reported to the caller with every error of the proxy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    NotRun,
    Ran,
    Unknown,
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        })
    }
}

/// What was exchanged with the endpoint on behalf of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Any byte of the request was handed to the connection.
    pub sent: bool,
    /// The request belongs to a transaction that was open before it and does not end it.
    pub inside: bool,
    /// The request only reads.
    pub read: bool,
    /// The endpoint refused the request with 25006 or before it executed anything.
    pub refused: bool,
    /// The endpoint's final message was received.
    pub complete: bool,
    /// Any part of the answer was passed to the caller.
    pub relayed: bool,
}

/// What to do after the connection failed or the deadline passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// The request may be sent again.
    Repeat,
    Report(Outcome),
}

impl Progress {
    /// Outcome if nothing else is received.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self { sent: false, .. } | Self { refused: true, .. } => Outcome::NotRun,
            // The endpoint rolls the transaction back, because its COMMIT was not sent.
            Self { inside: true, .. } => Outcome::NotRun,
            Self { complete: true, .. } => Outcome::Ran,
            _ => Outcome::Unknown,
        }
    }

    /// Repeats only what had no effect and was not yet seen by the caller.
    pub fn resolve(&self) -> Resolution {
        let harmless = !self.sent || self.refused || self.read;
        if harmless && !self.inside && !self.relayed {
            Resolution::Repeat
        } else {
            Resolution::Report(self.outcome())
        }
    }
}

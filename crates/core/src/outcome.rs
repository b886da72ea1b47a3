//! Outcome of a request whose answer is incomplete.

use std::fmt;

/// Whether a request was executed. Reported to the client with every error of the proxy.
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

/// Progress of one request's exchange with the endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    /// Whether any byte of the request was written to the connection.
    pub sent: bool,
    /// Whether the request runs in a transaction that was open before it, and does not end it.
    pub inside: bool,
    /// Whether the request only reads.
    pub read: bool,
    /// Whether the endpoint refused the request with SQLSTATE 25006 (read-only transaction) or
    /// before it executed any part.
    pub refused: bool,
    /// Whether the endpoint's final message was received.
    pub complete: bool,
    /// Whether any part of the answer was passed to the client.
    pub relayed: bool,
}

/// How to proceed after the connection failed or the deadline passed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Resolution {
    /// Send the request again.
    Retry,
    Report(Outcome),
}

impl Progress {
    /// Outcome if nothing more is received from the endpoint.
    pub fn outcome(&self) -> Outcome {
        match self {
            Self { sent: false, .. } | Self { refused: true, .. } => Outcome::NotRun,
            // The endpoint rolls back the transaction, since its COMMIT was not sent.
            Self { inside: true, .. } => Outcome::NotRun,
            Self { complete: true, .. } => Outcome::Ran,
            _ => Outcome::Unknown,
        }
    }

    /// Retries a request only if it had no effect and the client has seen no part of its answer.
    pub fn resolve(&self) -> Resolution {
        let can_retry = !self.sent || self.refused || self.read;
        if can_retry && !self.inside && !self.relayed {
            Resolution::Retry
        } else {
            Resolution::Report(self.outcome())
        }
    }
}

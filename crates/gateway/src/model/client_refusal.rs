//! Causes for which clients are refused.

/// Which limit a client exceeded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientRefusal {
    /// Too many connections are open.
    Connections,
    /// Too many connections have no complete start message, and this one is the oldest.
    Starting,
    /// The start message was not complete in time.
    StartTime,
    /// A message that had begun was not complete in time.
    MessageTime,
    /// An answer was not read in time.
    AnswerTime,
    /// The memory for clients ran short, and this client held much of it.
    Memory,
    /// The values and prepared statements of a session are too many or too large.
    State,
    /// The answer of a member is too large.
    AnswerSize,
    /// A statement of another host's client found no memory.
    Forwarded,
    /// An answer found no memory.
    Answer,
}

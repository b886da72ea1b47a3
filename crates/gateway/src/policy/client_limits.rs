//! Bounds on what clients may use of a host.

use std::time::Duration;

/// Memory of a machine whose settings do not tell it, in bytes: that of the largest hosts today.
pub const DEFAULT_MEMORY_BYTES: u64 = 512_000_000;
/// Descriptors of a machine whose settings do not tell them: those of the largest hosts today.
pub const DEFAULT_DESCRIPTORS: u64 = 8192;
/// Part of the memory for bytes held for clients, as a divisor. A held message exists up to three
/// times at once: as it was read, encoded for the member or host, and in a buffer that grows. The
/// other half of the memory is for the process itself and its view of the store.
const BYTES_DIVISOR: u64 = 6;
/// Part of the memory for the connections themselves, as a divisor.
const CONNECTIONS_DIVISOR: u64 = 8;
/// Memory of a connection without large messages, in bytes: buffers for reading and writing of at most
/// 16 KiB and 8 KiB, and its task.
const CONNECTION_BYTES: u64 = 32 << 10;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u64 = 200;
/// Part of the other descriptors for clients, as a divisor. A fleet of 1,000 hosts needs up to 2,000 of
/// 4,300 for connections between hosts, and a home up to a few hundred for its members.
const DESCRIPTORS_DIVISOR: u64 = 4;
/// Largest session state, in bytes: several messages of the largest size, and twice what a frame
/// between hosts holds.
const MAX_SESSION_BYTES: u64 = 8 << 20;
/// Largest number of values and prepared statements of a session. Each costs some 100 bytes beside its
/// content.
const MAX_SESSION_ITEMS: usize = 4096;
/// Time for a complete start message.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a message that has begun must be complete. The largest one takes 8 s at 1 Mbit/s.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which a client must read one message of an answer, as above.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Bounds on what clients may use of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Bytes held for all clients beyond the allowance of each connection.
    pub max_bytes: u64,
    pub max_connections: usize,
    /// Connections whose start message is not complete.
    pub max_starting: usize,
    /// Bytes of the values and prepared statements of a session.
    pub max_session_bytes: u64,
    /// Number of the values and prepared statements of a session.
    pub max_session_items: usize,
    /// Bytes of the rows with which a member answers a statement.
    pub max_answer_bytes: u64,
    pub start_timeout: Duration,
    pub message_timeout: Duration,
    pub answer_timeout: Duration,
}

impl ClientLimits {
    /// The limits of a machine with this memory in bytes and this number of descriptors.
    pub fn for_machine(memory: u64, descriptors: u64) -> Self {
        let max_bytes = memory / BYTES_DIVISOR;
        let by_memory = memory / CONNECTIONS_DIVISOR / CONNECTION_BYTES;
        let by_descriptors = descriptors.saturating_sub(FILE_DESCRIPTORS) / DESCRIPTORS_DIVISOR;
        let max_connections = by_memory.min(by_descriptors).max(1) as usize;
        Self {
            max_bytes,
            max_connections,
            max_starting: Self::starting_of(max_connections),
            max_session_bytes: MAX_SESSION_BYTES.min(max_bytes / 2),
            max_session_items: MAX_SESSION_ITEMS,
            max_answer_bytes: max_bytes / 2,
            start_timeout: START_TIMEOUT,
            message_timeout: MESSAGE_TIMEOUT,
            answer_timeout: ANSWER_TIMEOUT,
        }
    }

    /// How many of `connections` may be without a complete start message. The rest is left for sessions
    /// while all connections of a crowd are silent.
    pub fn starting_of(connections: usize) -> usize {
        (connections * 3 / 4).max(1)
    }
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self::for_machine(DEFAULT_MEMORY_BYTES, DEFAULT_DESCRIPTORS)
    }
}

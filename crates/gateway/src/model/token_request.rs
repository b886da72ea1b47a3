//! Requests for tokens of an organisation's rate limit.

use serde::Deserialize;
use serde::Serialize;

/// What a host needs of an organisation's rate for its operations of one priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRequest {
    /// Priority of the operations' route; 0 is the highest.
    pub priority: u32,
    /// Operations that arrived at the host since its last request, whether or not they need a token
    /// of this request.
    pub arrived: u32,
    /// Tokens wanted now.
    pub wanted: u32,
}

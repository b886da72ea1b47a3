//! Permission to use a pooled connection.

use std::sync::Arc;

use magnoliahatch_core::fair_queue::Ticket;
use magnoliahatch_core::limit::LimitId;
use tokio_util::sync::CancellationToken;

use crate::limits::shared::Shared;

/// Held while a session uses a connection; dropping it lets the next session in.
#[derive(Debug)]
pub struct ConnectionPermit {
    pub(crate) shared: Arc<Shared>,
    pub(crate) limit: LimitId,
    pub(crate) ticket: Ticket,
    pub(crate) revoked: CancellationToken,
}

impl ConnectionPermit {
    /// Returns when the share of connections that backs this permit is about to end, which
    /// happens when this host loses touch with its peers. The connection must then be closed at
    /// once, even within a transaction; otherwise the member's limit may be exceeded.
    pub async fn revoked(&self) {
        self.revoked.cancelled().await;
    }

    /// Cancelled when `revoked` completes.
    pub fn token(&self) -> CancellationToken {
        self.revoked.clone()
    }

    pub fn is_revoked(&self) -> bool {
        self.revoked.is_cancelled()
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.shared.leave(&self.limit, self.ticket);
    }
}

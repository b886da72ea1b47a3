//! Permission to use a pooled connection.

use std::sync::Arc;

use magnoliahatch_core::fair_queue::Ticket;
use magnoliahatch_core::limit::LimitId;
use tokio_util::sync::CancellationToken;

use crate::limits::shared::Shared;

/// Right of one session to use a pooled connection. Dropping the permit passes the right on to the
/// next session in the queue.
#[derive(Debug)]
pub struct ConnectionPermit {
    pub(crate) shared: Arc<Shared>,
    pub(crate) limit: LimitId,
    pub(crate) ticket: Ticket,
    pub(crate) revoked: CancellationToken,
}

impl ConnectionPermit {
    /// Completes shortly before the share of connections that covers this permit expires, which
    /// happens when this host can no longer reach its peers. The connection must then be closed
    /// immediately, even inside a transaction; otherwise the member's limit may be exceeded.
    pub async fn revoked(&self) {
        self.revoked.cancelled().await;
    }

    /// Token that is cancelled when the permit is revoked.
    pub fn token(&self) -> CancellationToken {
        self.revoked.clone()
    }

    pub fn is_revoked(&self) -> bool {
        self.revoked.is_cancelled()
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.shared.release(&self.limit, self.ticket);
    }
}

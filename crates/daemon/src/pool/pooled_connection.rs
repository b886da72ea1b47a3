//! A pooled connection while one session uses it.

use std::sync::Arc;

use magnoliahatch_core::position::LogPosition;
use magnoliahatch_core::session::TxStatus;

use crate::databases::gate::PrimaryPermit;
use crate::limits::ConnectionPermit;
use crate::pool::connection::Connection;
use crate::pool::member_pool::MemberPool;

/// A pooled connection while one session uses it. Dropping it closes the connection; only
/// `return_to_pool` returns the connection to the pool.
#[derive(Debug)]
pub struct PooledConnection {
    pool: Arc<MemberPool>,
    connection: Option<Connection>,
    permit: ConnectionPermit,
    /// Guard that delays a planned change of primary; `None` for a replica.
    primary: Option<PrimaryPermit>,
}

impl PooledConnection {
    pub(crate) fn new(
        pool: Arc<MemberPool>,
        connection: Connection,
        permit: ConnectionPermit,
    ) -> Self {
        Self {
            pool,
            connection: Some(connection),
            permit,
            primary: None,
        }
    }

    pub fn pool(&self) -> &Arc<MemberPool> {
        &self.pool
    }

    /// Holds the guard of the primary until this connection is returned or dropped.
    pub(crate) fn set_primary_use(&mut self, primary: Option<PrimaryPermit>) {
        self.primary = primary;
    }

    /// Returns the log position that must be confirmed before an answer at `position` is sent.
    pub(crate) fn confirmation_position(&self, position: LogPosition) -> LogPosition {
        let primary = self.primary.as_ref();
        primary.map_or(position, |primary| primary.confirmation_position(position))
    }

    /// Takes the guard of the primary, so that it can be held until the answer is complete.
    pub(crate) fn take_primary_use(&mut self) -> Option<PrimaryPermit> {
        self.primary.take()
    }

    pub fn connection(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("only return_to_pool and drop take the connection")
    }

    /// Completes when the connection must be closed at once because the host's share of the
    /// member's connections no longer covers it.
    pub async fn revoked(&self) {
        self.permit.revoked().await;
    }

    /// Like `revoked`, but the future does not borrow this connection.
    pub(crate) fn revocation(&self) -> impl Future<Output = ()> + use<> {
        self.permit.token().cancelled_owned()
    }

    /// Returns the connection to the pool if another session can use it, and closes it otherwise.
    pub fn return_to_pool(mut self, status: TxStatus) {
        if let Some(connection) = self
            .connection
            .take_if(|c| c.connection_state.reusable(status))
        {
            self.pool.return_to_pool(connection);
        }
    }
}

//! Use of a pooled connection by one session.

use std::sync::Arc;

use magnoliahatch_core::position::LogPosition;
use magnoliahatch_core::session::TxStatus;

use crate::databases::gate::PrimaryUse;
use crate::limits::ConnectionPermit;
use crate::pool::connection::Connection;
use crate::pool::member_pool::MemberPool;

/// A connection that one session uses. Dropping the lease closes the connection; only
/// `give_back` returns it to the pool.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<MemberPool>,
    connection: Option<Connection>,
    permit: ConnectionPermit,
    /// Admission to the primary; none at a replica.
    primary: Option<PrimaryUse>,
}

impl Lease {
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

    /// Keeps the admission to the primary as long as the lease.
    pub(crate) fn set_primary_use(&mut self, primary: Option<PrimaryUse>) {
        self.primary = primary;
    }

    /// Position by which an answer on this connection is confirmed.
    pub(crate) fn confirmed_as(&self, position: LogPosition) -> LogPosition {
        let primary = self.primary.as_ref();
        primary.map_or(position, |primary| primary.confirmed_as(position))
    }

    /// Takes the admission to the primary, to be kept until the answer is complete.
    pub(crate) fn take_primary_use(&mut self) -> Option<PrimaryUse> {
        self.primary.take()
    }

    pub fn connection(&mut self) -> &mut Connection {
        self.connection
            .as_mut()
            .expect("only give_back and drop take the connection")
    }

    /// Completes when the connection must be closed at once, since the share that allowed it ends.
    pub async fn revoked(&self) {
        self.permit.revoked().await;
    }

    /// The future of `revoked` without a borrow of the lease.
    pub(crate) fn revocation(&self) -> impl Future<Output = ()> + use<> {
        self.permit.token().cancelled_owned()
    }

    /// Returns the connection to the pool if it may serve another session.
    pub fn give_back(mut self, status: TxStatus) {
        if let Some(connection) = self.connection.take_if(|c| c.link.reusable(status)) {
            self.pool.give_back(connection);
        }
    }
}

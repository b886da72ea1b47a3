//! The platform's verbs, called on a control connection to a member.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_core::ids::LogIndex;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::role::Role;
use thiserror::Error;

use crate::pool::connection::Connection;
use crate::pool::open_error::OpenError;
use crate::verb_stats::VERBS;

/// User of control connections.
pub(crate) const CONTROL_USER: &str = "platform";

/// Why a verb failed.
#[derive(Debug, Error)]
pub enum VerbError {
    #[error(transparent)]
    Connection(#[from] OpenError),
    #[error("the member did not answer the verb in time")]
    Timeout,
    #[error("the answer to {0} cannot be read")]
    Answer(&'static str),
}

/// Answer to `platform_status`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberStatus {
    pub member: MemberId,
    pub role: Role,
    pub term: Term,
    pub last_term: Term,
    pub received: LogIndex,
    pub applied: LogIndex,
    pub confirmed: LogIndex,
}

/// Control connection to one member.
#[derive(Debug)]
pub struct Verbs {
    connection: Connection,
}

impl Verbs {
    /// Opens a control connection.
    pub async fn open(
        address: SocketAddr,
        database: &str,
        deadline: Instant,
    ) -> Result<Self, VerbError> {
        let connection = Connection::open(address, CONTROL_USER, database, deadline).await?;
        VERBS.on_opened();
        VERBS.on_traffic(connection.traffic.0, connection.traffic.1);
        Ok(Self { connection })
    }

    /// State of the member's log.
    pub async fn status(&mut self, deadline: Instant) -> Result<MemberStatus, VerbError> {
        let row = self
            .row("SELECT * FROM platform_status()", deadline)
            .await?;
        read_status(&row).ok_or(VerbError::Answer("platform_status"))
    }

    /// Waits until a position of the term is confirmed, or for `timeout`: the term and what is
    /// confirmed in it.
    pub async fn wait(
        &mut self,
        term: Term,
        index: LogIndex,
        timeout: Duration,
        deadline: Instant,
    ) -> Result<(Term, LogIndex), VerbError> {
        let sql = format!(
            "SELECT * FROM platform_wait({term}, {index}, {})",
            timeout.as_millis()
        );
        let row = self.row(&sql, deadline).await?;
        number(&row, 0)
            .zip(number(&row, 1))
            .ok_or(VerbError::Answer("platform_wait"))
    }

    /// Calls a verb by its SQL text and returns the columns of its one row.
    pub async fn call(&mut self, sql: &str, deadline: Instant) -> Result<Vec<String>, VerbError> {
        self.row(sql, deadline).await
    }

    async fn row(&mut self, sql: &str, deadline: Instant) -> Result<Vec<String>, VerbError> {
        VERBS.on_call();
        let before = self.connection.traffic;
        let call = self.connection.rows(sql);
        let rows = tokio::time::timeout_at(deadline.into(), call).await;
        let after = self.connection.traffic;
        VERBS.on_traffic(after.0 - before.0, after.1 - before.1);
        let rows = rows.map_err(|_| VerbError::Timeout)??;
        let row = rows.into_iter().next().unwrap_or_default();
        Ok(row.into_iter().map(Option::unwrap_or_default).collect())
    }
}

fn read_status(row: &[String]) -> Option<MemberStatus> {
    Some(MemberStatus {
        member: row.first()?.clone(),
        role: row.get(1)?.parse().ok()?,
        term: number(row, 2)?,
        last_term: number(row, 3)?,
        received: number(row, 4)?,
        applied: number(row, 5)?,
        confirmed: number(row, 6)?,
    })
}

fn number(row: &[String], column: usize) -> Option<u64> {
    row.get(column)?.parse().ok()
}

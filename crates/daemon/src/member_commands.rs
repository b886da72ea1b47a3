//! Calls of the platform's commands (SQL functions) over a control connection to a member.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_core::ids::LogIndex;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::role::Role;
use thiserror::Error;

use crate::command_stats::COMMAND_STATS;
use crate::pool::connection::Connection;
use crate::pool::open_error::OpenError;

/// User of control connections.
pub(crate) const CONTROL_USER: &str = "platform";
/// Statement that calls the most frequent command, and its name as a prepared statement.
const STATUS_SQL: &str = "SELECT * FROM platform_status()";
const STATUS_STATEMENT: &str = "s";

/// Why a command failed.
#[derive(Debug, Error)]
pub enum CommandError {
    #[error(transparent)]
    Connection(#[from] OpenError),
    #[error("the member did not answer the verb in time")]
    Timeout,
    #[error("the answer to {0} cannot be parsed")]
    InvalidAnswer(&'static str),
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
pub struct CommandConnection {
    connection: Connection,
    /// Whether [`STATUS_SQL`] is already prepared on the connection.
    status_prepared: bool,
}

impl CommandConnection {
    /// Opens a control connection.
    pub async fn open(
        address: SocketAddr,
        database: &str,
        deadline: Instant,
    ) -> Result<Self, CommandError> {
        let connection = Connection::open(address, CONTROL_USER, database, deadline).await?;
        COMMAND_STATS.on_opened();
        COMMAND_STATS.on_traffic(connection.byte_counts.0, connection.byte_counts.1);
        Ok(Self {
            connection,
            status_prepared: false,
        })
    }

    /// Role of the member and the state of its log.
    pub async fn status(&mut self, deadline: Instant) -> Result<MemberStatus, CommandError> {
        // A prepared statement saves the column descriptions, two thirds of the bytes of a simple
        // query's answer.
        let status_prepared = self.status_prepared;
        let row = self
            .call_counted(deadline, async |connection| {
                connection
                    .query_prepared(STATUS_STATEMENT, STATUS_SQL, status_prepared)
                    .await
            })
            .await?;
        self.status_prepared = true;
        read_status(&row).ok_or(CommandError::InvalidAnswer("platform_status"))
    }

    /// Waits until position `index` of the term is confirmed, at most for `timeout`. Returns the
    /// member's term and the position confirmed in it.
    pub async fn wait(
        &mut self,
        term: Term,
        index: LogIndex,
        timeout: Duration,
        deadline: Instant,
    ) -> Result<(Term, LogIndex), CommandError> {
        let sql = format!(
            "SELECT * FROM platform_wait({term}, {index}, {})",
            timeout.as_millis()
        );
        let row = self.row(&sql, deadline).await?;
        parse_column(&row, 0)
            .zip(parse_column(&row, 1))
            .ok_or(CommandError::InvalidAnswer("platform_wait"))
    }

    /// Calls a command by its SQL text and returns the columns of the single result row.
    pub async fn call(
        &mut self,
        sql: &str,
        deadline: Instant,
    ) -> Result<Vec<String>, CommandError> {
        self.row(sql, deadline).await
    }

    async fn row(&mut self, sql: &str, deadline: Instant) -> Result<Vec<String>, CommandError> {
        self.call_counted(deadline, async |connection| connection.query(sql).await)
            .await
    }

    /// Makes a call, records it in [`COMMAND_STATS`] and returns the columns of the single result row.
    async fn call_counted(
        &mut self,
        deadline: Instant,
        call: impl AsyncFnOnce(&mut Connection) -> Result<Vec<Vec<Option<String>>>, OpenError>,
    ) -> Result<Vec<String>, CommandError> {
        COMMAND_STATS.on_call();
        let before = self.connection.byte_counts;
        let call = call(&mut self.connection);
        let rows = tokio::time::timeout_at(deadline.into(), call).await;
        let after = self.connection.byte_counts;
        COMMAND_STATS.on_traffic(after.0 - before.0, after.1 - before.1);
        let rows = rows.map_err(|_| CommandError::Timeout)??;
        let row = rows.into_iter().next().unwrap_or_default();
        Ok(row.into_iter().map(Option::unwrap_or_default).collect())
    }
}

fn read_status(row: &[String]) -> Option<MemberStatus> {
    Some(MemberStatus {
        member: row.first()?.clone(),
        role: row.get(1)?.parse().ok()?,
        term: parse_column(row, 2)?,
        last_term: parse_column(row, 3)?,
        received: parse_column(row, 4)?,
        applied: parse_column(row, 5)?,
        confirmed: parse_column(row, 6)?,
    })
}

fn parse_column(row: &[String], column: usize) -> Option<u64> {
    row.get(column)?.parse().ok()
}

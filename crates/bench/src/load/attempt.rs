//! Performs one attempt of an operation.

use std::time::Duration;

use crate::history::operation::RowId;
use crate::history::operation::RowKey;
use crate::history::outcome::Outcome;
use crate::load::connection::Connection;
use crate::load::failure::Failure;
use crate::load::statement;

/// The key and rows that an operation reads or writes.
pub(super) struct Request {
    pub(super) organisation: String,
    pub(super) key: RowKey,
    pub(super) rows: Vec<RowId>,
    /// Ends the transaction with ROLLBACK instead of COMMIT.
    pub(super) rollback: bool,
    pub(super) request_id: Option<String>,
}

/// Result of one attempt: the rows read, or the failure.
pub(super) struct Attempt {
    pub(super) result: Result<Vec<RowId>, Failure>,
    pub(super) outcome: Outcome,
    /// When COMMIT was sent.
    pub(super) commit: Option<Duration>,
}

impl Attempt {
    fn from_result(result: Result<Vec<RowId>, Failure>) -> Self {
        let outcome = match &result {
            Ok(_) => Outcome::Ran,
            Err(failure) => failure.outcome(),
        };
        Self {
            result,
            outcome,
            commit: None,
        }
    }

    /// Attempt that failed before any change to the data could take effect.
    pub(super) fn not_sent(failure: Failure) -> Self {
        Self {
            result: Err(failure),
            outcome: Outcome::NotRun,
            commit: None,
        }
    }
}

/// Selects the rows of the key and checks their number against the command tag.
pub(super) async fn read(
    connection: &mut Connection,
    request: &Request,
    limit: Duration,
) -> Attempt {
    let sql = statement::select(request.key);
    let result = connection.query(&sql, limit).await;
    let result = result.and_then(|answer| {
        // The command tag holds the number of rows that the endpoint sent; fewer rows received
        // mean that some were lost on the way.
        let expected = format!("SELECT {}", answer.rows.len());
        if answer.tag == expected {
            Ok(answer.numbers())
        } else {
            Err(Failure::Lost(format!(
                "{} rows for {}",
                answer.rows.len(),
                answer.tag
            )))
        }
    });
    let mut attempt = Attempt::from_result(result);
    if attempt.result.is_err() && attempt.outcome == Outcome::Ran {
        // Without its rows, the read proves nothing about the data.
        attempt.outcome = Outcome::Unknown;
    }
    attempt
}

/// Inserts one row.
pub(super) async fn write(
    connection: &mut Connection,
    request: &Request,
    limit: Duration,
) -> Attempt {
    if let Some(id) = &request.request_id {
        let set = connection
            .query(&statement::set_request_id(id), limit)
            .await;
        if let Err(failure) = set {
            return Attempt::not_sent(failure);
        }
    }
    let sql = statement::insert(&request.organisation, request.key, request.rows[0]);
    let result = connection.query(&sql, limit).await;
    Attempt::from_result(result.map(|_| Vec::new()))
}

/// Inserts the rows in a transaction. A failure before COMMIT is sent means that none of the
/// rows are stored.
pub(super) async fn transaction(
    connection: &mut Connection,
    request: &Request,
    limit: Duration,
    now: impl Fn() -> Duration,
) -> Attempt {
    let organisation = &request.organisation;
    let inserts = request
        .rows
        .iter()
        .map(|row| statement::insert(organisation, request.key, *row));
    let first = std::iter::once("BEGIN".to_owned());
    for sql in first.chain(inserts) {
        if let Err(failure) = connection.query(&sql, limit).await {
            if failure.connection_usable() && !connection.idle() {
                let _ = connection.query("ROLLBACK", limit).await;
            }
            return Attempt::not_sent(failure);
        }
    }
    if request.rollback {
        let result = connection.query("ROLLBACK", limit).await;
        return Attempt {
            result: result.map(|_| Vec::new()),
            outcome: Outcome::NotRun,
            commit: None,
        };
    }
    let commit = Some(now());
    let result = connection.query("COMMIT", limit).await;
    let rolled_back = result.as_ref().is_ok_and(|answer| answer.tag == "ROLLBACK");
    let mut attempt = Attempt::from_result(result.map(|_| Vec::new()));
    attempt.commit = commit;
    if rolled_back {
        attempt.outcome = Outcome::NotRun;
    }
    attempt
}

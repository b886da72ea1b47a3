//! Steps before and after the load of a run: wait for the fleet, create the table, audit the rows.

use std::time::Duration;

use tokio::time::Instant;
use tokio::time::sleep;

use crate::history::operation::Operation;
use crate::history::outcome::Outcome;
use crate::history::record::Record;
use crate::load::answer::Answer;
use crate::load::connection::Connection;
use crate::load::error::LoadError;
use crate::load::failure::Failure;
use crate::load::statement;
use crate::load::target::Caller;
use crate::load::target::EntryHost;

/// Time within which the fleet must serve callers, at the start and after the last fault.
pub const SERVING_TIMEOUT: Duration = Duration::from_secs(40);
/// Timeout for connecting, and for each statement.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(10);
/// Wait between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until every host answers a query of the caller.
pub async fn wait_until_serving(
    entries: &[EntryHost],
    caller: &Caller,
    deadline: Instant,
) -> Result<(), LoadError> {
    for entry in entries {
        retry_until_success(std::slice::from_ref(entry), caller, &["SELECT 1"], deadline).await?;
    }
    Ok(())
}

/// Creates the table in the caller's database.
pub async fn create_table(
    entries: &[EntryHost],
    caller: &Caller,
    deadline: Instant,
) -> Result<(), LoadError> {
    retry_until_success(entries, caller, &statement::CREATE_TABLE, deadline).await?;
    Ok(())
}

/// Reads all rows of the caller's organisation from the primary, as a history record.
pub async fn audit(
    entries: &[EntryHost],
    caller: &Caller,
    start: Instant,
    deadline: Instant,
) -> Result<Record, LoadError> {
    let sql = statement::audit(&caller.organisation);
    let invoked = start.elapsed();
    let (answer, host) =
        retry_until_success(entries, caller, &[statement::SET_NO_AGE, &sql], deadline).await?;
    Ok(Record {
        session: 0,
        host,
        organisation: caller.organisation.clone(),
        database: caller.route.clone(),
        operation: Operation::Audit {
            rows: answer.numbers(),
        },
        statements: 1,
        invoked: u64::try_from(invoked.as_micros()).unwrap_or(u64::MAX),
        answered: u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX),
        outcome: Outcome::Ran,
    })
}

/// Runs the statements on one connection, trying the hosts in turn until all statements succeed.
/// Returns the last answer and the host that gave it.
async fn retry_until_success(
    entries: &[EntryHost],
    caller: &Caller,
    statements: &[&str],
    deadline: Instant,
) -> Result<(Answer, String), LoadError> {
    for entry in entries.iter().cycle() {
        let failure = match run_once(entry, caller, statements).await {
            Ok(answer) => return Ok((answer, entry.host.clone())),
            Err(failure) => failure,
        };
        if Instant::now() > deadline {
            return Err(LoadError::NotServing {
                route: caller.route.clone(),
                last: failure.to_string(),
            });
        }
        sleep(RETRY_INTERVAL).await;
    }
    Err(LoadError::Scenario("there are no hosts".to_owned()))
}

async fn run_once(
    entry: &EntryHost,
    caller: &Caller,
    statements: &[&str],
) -> Result<Answer, Failure> {
    let mut connection = Connection::open(entry.sql_address, caller, None, ATTEMPT_TIMEOUT).await?;
    let mut answer = Answer::default();
    for sql in statements {
        answer = connection.query(sql, ATTEMPT_TIMEOUT).await?;
    }
    connection.close().await;
    Ok(answer)
}

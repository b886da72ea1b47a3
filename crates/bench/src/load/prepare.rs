//! What a run does before and after its load: waits for the fleet, creates the table, audits.

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
use crate::load::target::Entry;

/// Limit for the fleet to serve callers, at the start and after the last fault.
pub const SERVING_LIMIT: Duration = Duration::from_secs(40);
/// Limit of one attempt.
const ATTEMPT_LIMIT: Duration = Duration::from_secs(10);
/// Wait between attempts.
const PAUSE: Duration = Duration::from_millis(50);

/// Waits until every host serves the caller.
pub async fn wait_for(
    entries: &[Entry],
    caller: &Caller,
    deadline: Instant,
) -> Result<(), LoadError> {
    for entry in entries {
        persist(std::slice::from_ref(entry), caller, &["SELECT 1"], deadline).await?;
    }
    Ok(())
}

/// Creates the table in the caller's database.
pub async fn create(
    entries: &[Entry],
    caller: &Caller,
    deadline: Instant,
) -> Result<(), LoadError> {
    persist(entries, caller, &statement::CREATE, deadline).await?;
    Ok(())
}

/// Reads all rows of the caller's organisation at the primary.
pub async fn audit(
    entries: &[Entry],
    caller: &Caller,
    start: Instant,
    deadline: Instant,
) -> Result<Record, LoadError> {
    let sql = statement::audit(&caller.organisation);
    let invoked = start.elapsed();
    let (answer, host) = persist(entries, caller, &[statement::SET_NO_AGE, &sql], deadline).await?;
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

/// Runs the statements on one connection, at one host after the other until all succeed; returns
/// the last answer.
async fn persist(
    entries: &[Entry],
    caller: &Caller,
    statements: &[&str],
    deadline: Instant,
) -> Result<(Answer, String), LoadError> {
    for entry in entries.iter().cycle() {
        let failure = match run(entry, caller, statements).await {
            Ok(answer) => return Ok((answer, entry.host.clone())),
            Err(failure) => failure,
        };
        if Instant::now() > deadline {
            return Err(LoadError::NotServing {
                route: caller.route.clone(),
                last: failure.to_string(),
            });
        }
        sleep(PAUSE).await;
    }
    Err(LoadError::Scenario("there are no hosts".to_owned()))
}

async fn run(entry: &Entry, caller: &Caller, statements: &[&str]) -> Result<Answer, Failure> {
    let mut connection = Connection::open(entry.sql, caller, None, ATTEMPT_LIMIT).await?;
    let mut answer = Answer::default();
    for sql in statements {
        answer = connection.query(sql, ATTEMPT_LIMIT).await?;
    }
    connection.close().await;
    Ok(answer)
}

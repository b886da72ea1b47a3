//! Formats calls of verbs as SQL and parses the result rows.

use std::net::SocketAddr;
use std::str::FromStr;

use magnoliahatch_core::ids::Term;
use magnoliahatch_core::verb::Answer;
use magnoliahatch_core::verb::LogEnd;
use magnoliahatch_core::verb::MemberStatus;
use magnoliahatch_core::verb::Verb;
use thiserror::Error;

/// A result row that does not have the columns that the verb returns.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("column {column} of a verb's answer is {found:?}, expected {expected}")]
pub struct RowError {
    column: usize,
    found: String,
    expected: &'static str,
}

/// SQL text of a call. `address` is the address of the member to follow.
pub fn sql(verb: &Verb, term: Term, candidate: &str, address: Option<SocketAddr>) -> String {
    let candidate = candidate.replace('\'', "''");
    match verb {
        Verb::Fence => format!("SELECT * FROM platform_fence({term}, '{candidate}')"),
        Verb::Promote => format!("SELECT * FROM platform_promote({term}, '{candidate}')"),
        Verb::Follow(_) => {
            let address = address.map(|a| a.to_string()).unwrap_or_default();
            format!("SELECT * FROM platform_follow({term}, '{candidate}', '{address}')")
        }
    }
}

/// SQL text of a status call.
pub fn status_sql() -> String {
    "SELECT * FROM platform_status()".to_owned()
}

/// Parses the result row of a call.
pub fn answer(verb: &Verb, row: &[String]) -> Result<Answer, RowError> {
    Ok(match verb {
        Verb::Fence => Answer::Fence {
            granted: flag(row, 0)?,
            term: number(row, 1)?,
            end: LogEnd {
                last_term: number(row, 2)?,
                received: number(row, 3)?,
            },
        },
        Verb::Promote => Answer::Promote {
            ok: flag(row, 0)?,
            term: number(row, 1)?,
        },
        Verb::Follow(_) => Answer::Follow { ok: flag(row, 0)? },
    })
}

/// Parses the result row of a status call.
pub fn status(row: &[String]) -> Result<MemberStatus, RowError> {
    let found = text(row, 1);
    Ok(MemberStatus {
        role: found
            .parse()
            .map_err(|_| error(1, found, "primary, replica or fenced"))?,
        term: number(row, 2)?,
        end: LogEnd {
            last_term: number(row, 3)?,
            received: number(row, 4)?,
        },
    })
}

fn text(row: &[String], column: usize) -> &str {
    row.get(column).map_or("", String::as_str)
}

fn number<T: FromStr>(row: &[String], column: usize) -> Result<T, RowError> {
    let found = text(row, column);
    found.parse().map_err(|_| error(column, found, "a number"))
}

/// Parses a boolean, which servers format as `t` or `true`.
fn flag(row: &[String], column: usize) -> Result<bool, RowError> {
    match text(row, column) {
        "t" | "true" => Ok(true),
        "f" | "false" => Ok(false),
        found => Err(error(column, found, "true or false")),
    }
}

fn error(column: usize, found: &str, expected: &'static str) -> RowError {
    RowError {
        column,
        found: found.to_owned(),
        expected,
    }
}

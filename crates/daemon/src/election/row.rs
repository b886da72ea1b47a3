//! Formats calls of commands as SQL and parses the result rows.

use std::net::SocketAddr;
use std::str::FromStr;

use magnoliahatch_core::ids::Term;
use magnoliahatch_core::member_command::CommandReply;
use magnoliahatch_core::member_command::LogEnd;
use magnoliahatch_core::member_command::MemberCommand;
use magnoliahatch_core::member_command::MemberStatus;
use thiserror::Error;

/// A result row that does not have the columns that the command returns.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("column {column} of a verb's answer is {found:?}, expected {expected}")]
pub struct RowError {
    column: usize,
    found: String,
    expected: &'static str,
}

/// SQL text of a call. `address` is the address of the member to follow.
pub fn sql(
    command: &MemberCommand,
    term: Term,
    candidate: &str,
    address: Option<SocketAddr>,
) -> String {
    let candidate = candidate.replace('\'', "''");
    match command {
        MemberCommand::Fence => format!("SELECT * FROM platform_fence({term}, '{candidate}')"),
        MemberCommand::Promote => format!("SELECT * FROM platform_promote({term}, '{candidate}')"),
        MemberCommand::Follow(_) => {
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
pub fn answer(command: &MemberCommand, row: &[String]) -> Result<CommandReply, RowError> {
    Ok(match command {
        MemberCommand::Fence => CommandReply::Fence {
            granted: flag(row, 0)?,
            term: number(row, 1)?,
            end: LogEnd {
                last_term: number(row, 2)?,
                received: number(row, 3)?,
            },
        },
        MemberCommand::Promote => CommandReply::Promote {
            ok: flag(row, 0)?,
            term: number(row, 1)?,
        },
        MemberCommand::Follow(_) => CommandReply::Follow { ok: flag(row, 0)? },
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

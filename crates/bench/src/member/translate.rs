//! Rewrites a PostgreSQL statement for SQLite.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use sqlparser::tokenizer::Token;

use crate::member::SqlError;
use crate::member::datum::Datum;
use crate::member::sql;
use crate::member::sql::word;
use crate::member::variables::Variables;

/// A statement for SQLite.
#[derive(Debug, PartialEq)]
pub(crate) struct Translated {
    pub(crate) sql: String,
    /// Total of its calls of pg_sleep.
    pub(crate) sleep: Duration,
}

/// Rewrites a statement; without parameters only its form matters. Functions whose result differs between members are replaced by their
/// value, so that replicas apply what the primary executed.
pub(crate) fn translate(
    tokens: &[Token],
    params: Option<&[Datum]>,
    variables: &Variables,
    pid: i32,
) -> Result<Translated, SqlError> {
    let mut out: Vec<String> = Vec::with_capacity(tokens.len());
    let mut sleep = Duration::ZERO;
    let mut at = 0;
    while at < tokens.len() {
        let upper = word(tokens.get(at));
        let call = call_end(tokens, at);
        let next = word(tokens.get(at + 1));
        match (&tokens[at], upper.as_str(), call) {
            (Token::DoubleColon, ..) => at = cast_end(tokens, at) - 1,
            (_, "PG_SLEEP", Some(end)) => {
                if let Some(params) = params {
                    sleep += seconds(&tokens[at + 2..end], params)?;
                }
                out.push("''".to_owned());
                at = end;
            }
            (_, "NOW" | "CLOCK_TIMESTAMP", Some(end)) => {
                out.push(now());
                at = end;
            }
            (_, "CURRENT_TIMESTAMP", None) => out.push(now()),
            (_, "RANDOM", Some(end)) => {
                out.push(rand::random::<f64>().to_string());
                at = end;
            }
            (_, "GEN_RANDOM_UUID", Some(end)) => {
                out.push(format!("'{:032x}'", rand::random::<u128>()));
                at = end;
            }
            (_, "PG_BACKEND_PID", Some(end)) => {
                out.push(pid.to_string());
                at = end;
            }
            (_, "VERSION", Some(end)) => {
                out.push(quote("PostgreSQL 16.0 (magnoliahatch member stand-in)"));
                at = end;
            }
            (_, "CURRENT_SETTING", Some(end)) => {
                let name = tokens.get(at + 2).map(sql::name).unwrap_or_default();
                out.push(quote(variables.get(&name).unwrap_or_default()));
                at = end;
            }
            (_, "SESSION_USER" | "CURRENT_USER", None) => out.push(quote(variables.user())),
            (_, "FOR", None) if next == "UPDATE" || next == "SHARE" => break,
            (_, "ILIKE", None) => out.push("LIKE".to_owned()),
            (_, "TRUNCATE", None) => {
                out.push("DELETE FROM".to_owned());
                at += usize::from(next == "TABLE");
            }
            // SQLite numbers rows only in a primary key that is declared exactly so.
            (_, "SERIAL" | "BIGSERIAL", None) if next == "PRIMARY" => {
                out.push("INTEGER".to_owned());
            }
            (token, ..) => out.push(token.to_string()),
        }
        at += 1;
    }
    Ok(Translated {
        sql: out.join(" "),
        sleep,
    })
}

/// Index of the closing parenthesis, if the token is a name followed by an argument list.
pub(crate) fn call_end(tokens: &[Token], at: usize) -> Option<usize> {
    if !matches!(tokens[at], Token::Word(_)) || tokens.get(at + 1) != Some(&Token::LParen) {
        return None;
    }
    closing(tokens, at + 1)
}

/// Index of the parenthesis that closes the one at `open`.
pub(crate) fn closing(tokens: &[Token], open: usize) -> Option<usize> {
    let mut depth = 0;
    for (at, token) in tokens.iter().enumerate().skip(open) {
        match token {
            Token::LParen => depth += 1,
            Token::RParen if depth == 1 => return Some(at),
            Token::RParen => depth -= 1,
            _ => {}
        }
    }
    None
}

/// Index after the type of a cast whose `::` is at `at`.
pub(crate) fn cast_end(tokens: &[Token], at: usize) -> usize {
    let mut end = at + 2;
    if word(tokens.get(at + 1)) == "DOUBLE" && word(tokens.get(end)) == "PRECISION" {
        end += 1;
    }
    if tokens.get(end) == Some(&Token::LParen) {
        end = closing(tokens, end).map_or(end, |close| close + 1);
    }
    end
}

fn seconds(argument: &[Token], params: &[Datum]) -> Result<Duration, SqlError> {
    let wrong = || SqlError::new("22023", "pg_sleep takes a number of seconds or a parameter");
    let number = match argument.first() {
        Some(Token::Number(text, _)) => text.parse().map_err(|_| wrong())?,
        Some(Token::Placeholder(_)) => {
            let number = placeholder(&argument[0]).ok_or_else(wrong)?;
            match params.get(number - 1) {
                Some(Datum::Real(value)) => *value,
                Some(Datum::Integer(value)) => *value as f64,
                _ => return Err(wrong()),
            }
        }
        _ => return Err(wrong()),
    };
    Duration::try_from_secs_f64(number).map_err(|_| wrong())
}

/// Number of a parameter, from 1.
pub(crate) fn placeholder(token: &Token) -> Option<usize> {
    match token {
        Token::Placeholder(text) => text
            .strip_prefix('$')?
            .parse()
            .ok()
            .filter(|number| *number > 0),
        _ => None,
    }
}

fn now() -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    quote(&format!("{}.{:06}", since.as_secs(), since.subsec_micros()))
}

fn quote(text: &str) -> String {
    format!("'{}'", text.replace('\'', "''"))
}

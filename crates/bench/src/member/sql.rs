//! Splits SQL text into statements and classifies them.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::Token;
use sqlparser::tokenizer::Tokenizer;

use crate::member::SqlError;

/// What a statement asks for.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Kind {
    Empty,
    Begin {
        snapshot: bool,
    },
    Commit,
    Rollback,
    Savepoint(String),
    Release(String),
    RollbackTo(String),
    /// Variable and value; no value means the default.
    Set {
        name: String,
        value: Option<String>,
        local: bool,
    },
    /// SET SESSION AUTHORIZATION; none means the user of the startup message.
    Authorize(Option<String>),
    ResetAll,
    DiscardAll,
    Show(String),
    /// Name of the prepared statement; none means all.
    Deallocate(Option<String>),
    /// Call of a platform function with its arguments.
    Platform {
        function: String,
        args: Vec<Token>,
    },
    Read,
    /// SELECT ... FOR UPDATE: takes the write lock and changes nothing.
    Locking,
    Write {
        schema: bool,
    },
}

/// One statement.
#[derive(Debug, Clone)]
pub(crate) struct Parsed {
    pub(crate) kind: Kind,
    /// Without white space and comments.
    pub(crate) tokens: Vec<Token>,
    pub(crate) text: String,
}

/// Splits a query string into its statements.
pub(crate) fn split(sql: &str) -> Result<Vec<Parsed>, SqlError> {
    let tokens = Tokenizer::new(&PostgreSqlDialect {}, sql)
        .with_unescape(false)
        .tokenize()
        .map_err(|e| SqlError::new("42601", format!("syntax error: {e}")))?;
    let mut statements = Vec::new();
    for part in tokens.split(|token| *token == Token::SemiColon) {
        let text: String = part.iter().map(Token::to_string).collect();
        let tokens: Vec<Token> = part
            .iter()
            .filter(|token| !matches!(token, Token::Whitespace(_)))
            .cloned()
            .collect();
        if tokens.is_empty() {
            continue;
        }
        statements.push(Parsed {
            kind: classify(&tokens)?,
            tokens,
            text: text.trim().to_owned(),
        });
    }
    if statements.is_empty() {
        statements.push(Parsed {
            kind: Kind::Empty,
            tokens: Vec::new(),
            text: String::new(),
        });
    }
    Ok(statements)
}

/// Upper-case word of a token; empty for other tokens and quoted names.
pub(crate) fn word(token: Option<&Token>) -> String {
    match token {
        Some(Token::Word(word)) if word.quote_style.is_none() => word.value.to_ascii_uppercase(),
        _ => String::new(),
    }
}

/// Name as an identifier: lower case unless quoted.
pub(crate) fn name(token: &Token) -> String {
    match token {
        Token::Word(word) if word.quote_style.is_none() => word.value.to_ascii_lowercase(),
        Token::Word(word) => word.value.clone(),
        Token::SingleQuotedString(text) => text.replace("''", "'"),
        other => other.to_string(),
    }
}

fn classify(tokens: &[Token]) -> Result<Kind, SqlError> {
    let words: Vec<String> = tokens.iter().map(|token| word(Some(token))).collect();
    let has = |word: &str| words.iter().any(|w| w == word);
    let second = words.get(1).map_or("", String::as_str);
    let last = || tokens.last().map(name).unwrap_or_default();
    if let Some(call) = platform_call(tokens, &words) {
        return Ok(call);
    }
    Ok(match words[0].as_str() {
        "BEGIN" | "START" => Kind::Begin {
            snapshot: has("REPEATABLE") || has("SERIALIZABLE"),
        },
        "COMMIT" | "END" => Kind::Commit,
        "ROLLBACK" if has("TO") => Kind::RollbackTo(last()),
        "ROLLBACK" | "ABORT" => Kind::Rollback,
        "SAVEPOINT" => Kind::Savepoint(last()),
        "RELEASE" => Kind::Release(last()),
        "SET" => set(tokens, &words)?,
        "RESET" if second == "ALL" => Kind::ResetAll,
        "RESET" if second == "SESSION" => Kind::Authorize(None),
        "RESET" => Kind::Set {
            name: dotted(&tokens[1..]),
            value: None,
            local: false,
        },
        "DISCARD" => Kind::DiscardAll,
        "SHOW" => Kind::Show(dotted(&tokens[1..])),
        "DEALLOCATE" if last() == "all" => Kind::Deallocate(None),
        "DEALLOCATE" => Kind::Deallocate(Some(last())),
        "SELECT" if words.windows(2).any(|w| w[0] == "FOR" && w[1] == "UPDATE") => Kind::Locking,
        "WITH" if has("INSERT") || has("UPDATE") || has("DELETE") => Kind::Write { schema: false },
        "SELECT" | "VALUES" | "WITH" | "EXPLAIN" | "TABLE" => Kind::Read,
        "INSERT" | "UPDATE" | "DELETE" | "TRUNCATE" => Kind::Write { schema: false },
        "CREATE" | "DROP" | "ALTER" => Kind::Write { schema: true },
        "COPY" | "LISTEN" | "NOTIFY" | "LOCK" | "DECLARE" | "FETCH" | "VACUUM" | "GRANT" => {
            return Err(SqlError::new(
                "0A000",
                format!("{} is not supported by this member", words[0]),
            ));
        }
        _ if matches!(tokens[0], Token::LParen) => Kind::Read,
        _ => {
            return Err(SqlError::new(
                "42601",
                format!("syntax error at or near \"{}\"", tokens[0]),
            ));
        }
    })
}

/// `SELECT * FROM platform_x(...)` or `SELECT platform_x(...)`.
fn platform_call(tokens: &[Token], words: &[String]) -> Option<Kind> {
    let at = match words {
        [s, _, f, ..] if s == "SELECT" && f == "FROM" => 3,
        [s, ..] if s == "SELECT" => 1,
        _ => return None,
    };
    let function = tokens.get(at).map(name)?;
    let open = tokens.get(at + 1)? == &Token::LParen && tokens.last()? == &Token::RParen;
    if !open || !function.starts_with("platform_") {
        return None;
    }
    let args = tokens[at + 2..tokens.len() - 1]
        .iter()
        .filter(|token| **token != Token::Comma)
        .cloned()
        .collect();
    Some(Kind::Platform { function, args })
}

fn dotted(tokens: &[Token]) -> String {
    tokens.iter().map(name).collect()
}

fn set(tokens: &[Token], words: &[String]) -> Result<Kind, SqlError> {
    let mut start = 1;
    let local = words.get(1).is_some_and(|w| w == "LOCAL");
    if local || words.get(1).is_some_and(|w| w == "SESSION") {
        start += 1;
    }
    match words.get(start).map(String::as_str) {
        Some("AUTHORIZATION") => {
            return Ok(match words.get(start + 1).map(String::as_str) {
                Some("DEFAULT") => Kind::Authorize(None),
                _ => Kind::Authorize(tokens.get(start + 1).map(name)),
            });
        }
        // Isolation of the running transaction; the stand-in decides it at BEGIN only.
        Some("TRANSACTION" | "CHARACTERISTICS") => {
            return Ok(Kind::Set {
                name: "transaction_isolation".to_owned(),
                value: None,
                local,
            });
        }
        _ => {}
    }
    let split = (start..tokens.len()).find(|&at| tokens[at] == Token::Eq || words[at] == "TO");
    let Some(split) = split.filter(|&at| at > start && at + 1 < tokens.len()) else {
        return Err(SqlError::new("42601", "syntax error in SET"));
    };
    let value = match words[split + 1].as_str() {
        "DEFAULT" => None,
        _ => Some(dotted(&tokens[split + 1..])),
    };
    Ok(Kind::Set {
        name: dotted(&tokens[start..split]),
        value,
        local,
    })
}

//! Classifies SQL statements with sqlparser.
//!
//! A statement that is not known to be a plain read is classified as a write.

use sqlparser::ast::DiscardObject;
use sqlparser::ast::Reset;
use sqlparser::ast::Set;
use sqlparser::ast::SetExpr;
use sqlparser::ast::Statement;
use sqlparser::ast::TransactionAccessMode;
use sqlparser::ast::TransactionMode;
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;
use sqlparser::tokenizer::Token;
use sqlparser::tokenizer::Tokenizer;
use thiserror::Error;

use crate::keywords;
use crate::statement_class::StatementClass;
use crate::variable::PROXY_VARIABLE_PREFIX;
use crate::variable::SetVariable;

/// The SQL text cannot be tokenized.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("the statement cannot be read: {0}")]
pub struct ClassifyError(pub String);

/// Classifies each statement of a SQL text. The result is empty if the text has no statements.
pub fn classify(sql: &str) -> Result<Vec<StatementClass>, ClassifyError> {
    let dialect = PostgreSqlDialect {};
    let tokens: Vec<Token> = Tokenizer::new(&dialect, sql)
        .tokenize()
        .map_err(|e| ClassifyError(e.to_string()))?
        .into_iter()
        .filter(|token| !matches!(token, Token::Whitespace(_)))
        .collect();
    tokens
        .split(|token| *token == Token::SemiColon)
        .filter(|part| !part.is_empty())
        .map(|part| Ok(classify_statement(&dialect, part)))
        .collect()
}

fn classify_statement(dialect: &PostgreSqlDialect, tokens: &[Token]) -> StatementClass {
    if let Some(unsupported) = unsupported_statement(tokens) {
        return unsupported;
    }
    if let Some(set) = proxy_variable(tokens) {
        return set;
    }
    let mut parser = Parser::new(dialect).with_tokens(tokens.to_vec());
    let parsed = parser.parse_statement();
    // If tokens remain, the parser recognised only the beginning of the statement.
    match parsed {
        Ok(statement) if parser.peek_token().token == Token::EOF => {
            classify_parsed(statement, tokens)
        }
        _ => classify_unparsed(tokens),
    }
}

fn classify_parsed(statement: Statement, tokens: &[Token]) -> StatementClass {
    match statement {
        Statement::Query(query) => {
            let plain = query.locks.is_empty() && !matches!(*query.body, SetExpr::Insert(_));
            read_or_write(plain && has_no_effect(tokens))
        }
        Statement::ShowVariable { .. } => StatementClass::Read,
        Statement::Explain { .. } | Statement::ExplainTable { .. } => {
            read_or_write(has_no_effect(tokens))
        }
        Statement::StartTransaction { modes, .. } => StatementClass::Begin {
            read_only: modes.contains(&TransactionMode::AccessMode(
                TransactionAccessMode::ReadOnly,
            )),
        },
        Statement::Commit { .. } => StatementClass::Commit,
        Statement::Rollback { savepoint, .. } => match savepoint {
            None => StatementClass::Rollback,
            Some(name) => StatementClass::RollbackTo(name.value),
        },
        Statement::Savepoint { name } => StatementClass::Savepoint(name.value),
        Statement::Set(set) => classify_set(set),
        Statement::Reset(reset) => match reset.reset {
            Reset::ALL => set(String::new(), None, false),
            Reset::SessionAuthorization => identity_change(),
            Reset::ConfigurationParameter(name) => {
                set(name.to_string().to_ascii_lowercase(), None, false)
            }
        },
        Statement::Discard {
            object_type: DiscardObject::ALL,
        } => StatementClass::DiscardAll,
        Statement::Deallocate { name, .. } => {
            let all = name.quote_style.is_none() && name.value.eq_ignore_ascii_case("all");
            StatementClass::Deallocate((!all).then_some(name.value))
        }
        Statement::CreateTable(table) if table.temporary => temporary_table(),
        Statement::CreateView(view) if view.temporary => temporary_table(),
        Statement::Declare { stmts, .. } if stmts.iter().any(|s| s.hold == Some(true)) => {
            StatementClass::Unsupported {
                statement: "DECLARE ... WITH HOLD",
                alternative: "use a cursor inside one transaction",
            }
        }
        _ => StatementClass::Write,
    }
}

fn classify_set(statement: Set) -> StatementClass {
    match statement {
        Set::SingleAssignment {
            scope,
            variable,
            values,
            ..
        } => {
            let local = scope.is_some_and(|s| s.to_string().trim().eq_ignore_ascii_case("local"));
            let name = variable.to_string().replace('"', "").to_ascii_lowercase();
            let values: Vec<String> = values.iter().map(ToString::to_string).collect();
            set(name, Some(values.join(", ")), local)
        }
        Set::SetTimeZone { local, value } => {
            set("timezone".to_owned(), Some(value.to_string()), local)
        }
        Set::SetNames { charset_name, .. } => set(
            "client_encoding".to_owned(),
            Some(format!("'{}'", charset_name.value)),
            false,
        ),
        // Applies to the current transaction only, so it is not recorded for the session.
        Set::SetTransaction { session: false, .. } => StatementClass::Write,
        _ => StatementClass::Unsupported {
            statement: "this form of SET",
            alternative: "set one variable with SET name = value",
        },
    }
}

fn set(name: String, value: Option<String>, local: bool) -> StatementClass {
    if keywords::contains_word(keywords::IDENTITY_VARIABLES, &name) {
        return identity_change();
    }
    // The proxy writes the name into its own SET statements when it restores the variable on
    // another connection, so the name must need no quoting.
    let allowed = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
    if !name.chars().all(allowed) {
        return StatementClass::Unsupported {
            statement: "this name of a variable",
            alternative: "use letters, digits, underscores and full stops",
        };
    }
    let value = value.filter(|text| !text.eq_ignore_ascii_case("default"));
    StatementClass::Set(SetVariable { name, value, local })
}

/// Recognises `SET`, `RESET` and `SHOW` of a variable that the proxy itself interprets.
fn proxy_variable(tokens: &[Token]) -> Option<StatementClass> {
    let mut rest = tokens;
    let command = upper_word(rest.first()?)?;
    rest = &rest[1..];
    while rest
        .first()
        .and_then(upper_word)
        .is_some_and(|w| w == "SESSION" || w == "LOCAL")
    {
        rest = &rest[1..];
    }
    let [
        Token::Word(namespace),
        Token::Period,
        Token::Word(field),
        rest @ ..,
    ] = rest
    else {
        return None;
    };
    let name = format!("{}.{}", namespace.value, field.value).to_ascii_lowercase();
    if !name.starts_with(PROXY_VARIABLE_PREFIX) {
        return None;
    }
    let value = match (command.as_str(), rest) {
        ("SHOW", []) => return Some(StatementClass::Show(name)),
        ("RESET", []) => None,
        ("SET", [_, value]) => Some(value.to_string()),
        _ => return None,
    };
    Some(set(name, value, false))
}

/// Recognises statements that leave state on the connection beyond the end of the transaction, and
/// those that could change the session's identity.
fn unsupported_statement(tokens: &[Token]) -> Option<StatementClass> {
    let first_words: Vec<String> = tokens.iter().take(3).filter_map(upper_word).collect();
    let first_words: Vec<&str> = first_words.iter().map(String::as_str).collect();
    match first_words.as_slice() {
        ["SET" | "RESET", "SESSION", "AUTHORIZATION"] | ["SET" | "RESET", "ROLE", ..] => {
            return Some(identity_change());
        }
        ["SET", "LOCAL" | "SESSION", "ROLE"] => return Some(identity_change()),
        _ => {}
    }
    let prefixes = keywords::UNSUPPORTED_PREFIXES.iter();
    for (prefix, statement, alternative) in prefixes {
        if first_words.starts_with(prefix) {
            return Some(StatementClass::Unsupported {
                statement,
                alternative,
            });
        }
    }
    for pair in tokens.windows(2) {
        let Some(name) = upper_word(&pair[0]).filter(|_| pair[1] == Token::LParen) else {
            continue;
        };
        if name.contains("ADVISORY") && !name.contains("XACT") {
            return Some(StatementClass::Unsupported {
                statement: "session advisory lock",
                alternative: "use pg_advisory_xact_lock inside a transaction",
            });
        }
        if name == "SET_CONFIG" {
            return Some(StatementClass::Unsupported {
                statement: "set_config",
                alternative: "use SET name = value",
            });
        }
    }
    // `SELECT ... INTO TEMP` creates a temporary table.
    tokens
        .windows(2)
        .any(|pair| {
            upper_word(&pair[0]).as_deref() == Some("INTO")
                && upper_word(&pair[1]).is_some_and(|w| w == "TEMP" || w == "TEMPORARY")
        })
        .then(temporary_table)
}

/// Classifies a statement that sqlparser cannot parse. Known commands are writes, since PostgreSQL
/// has forms of them that sqlparser does not support. Other commands are refused, since their
/// effect is not known.
fn classify_unparsed(tokens: &[Token]) -> StatementClass {
    match tokens.first().and_then(upper_word) {
        Some(command) if keywords::contains_word(keywords::WRITE_COMMANDS, &command) => {
            StatementClass::Write
        }
        _ => StatementClass::Unsupported {
            statement: "a statement that the proxy cannot read",
            alternative: "check its syntax",
        },
    }
}

/// Whether the tokens contain neither a keyword that modifies or locks data nor a call of a
/// function that is not known to be free of effects.
fn has_no_effect(tokens: &[Token]) -> bool {
    let modifies = tokens
        .iter()
        .filter_map(upper_word)
        .any(|w| keywords::contains_word(keywords::MODIFYING_KEYWORDS, &w));
    let calls_allowed = tokens.windows(2).all(|pair| match &pair[0] {
        Token::Word(name) if pair[1] == Token::LParen => {
            name.quote_style.is_none()
                && (keywords::contains_word(
                    keywords::KEYWORDS_BEFORE_PARENTHESIS,
                    &name.value.to_ascii_uppercase(),
                ) || keywords::contains_word(
                    keywords::PURE_FUNCTIONS,
                    &name.value.to_ascii_lowercase(),
                ))
        }
        _ => true,
    });
    // A schema-qualified function may be user-defined, even if its last part is a known name.
    let qualified_call = tokens.windows(3).any(|part| {
        part[0] == Token::Period && matches!(part[1], Token::Word(_)) && part[2] == Token::LParen
    });
    !modifies && calls_allowed && !qualified_call
}

fn read_or_write(read: bool) -> StatementClass {
    if read {
        StatementClass::Read
    } else {
        StatementClass::Write
    }
}

fn upper_word(token: &Token) -> Option<String> {
    match token {
        Token::Word(word) => Some(word.value.to_ascii_uppercase()),
        _ => None,
    }
}

fn identity_change() -> StatementClass {
    StatementClass::Unsupported {
        statement: "change of role or session authorization",
        alternative: "connect with the other organisation's key",
    }
}

fn temporary_table() -> StatementClass {
    StatementClass::Unsupported {
        statement: "temporary table",
        alternative: "use a common table expression or a permanent table",
    }
}

//! Classifies SQL statements with sqlparser.
//!
//! Whatever is not certain to be a plain read is a write.

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

use crate::class::Class;
use crate::variable::OWN_PREFIX;
use crate::variable::SetVariable;
use crate::words;

/// The text cannot be split into statements.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("the statement cannot be read: {0}")]
pub struct ClassifyError(pub String);

/// Classifies each statement of a text; empty for a text without statements.
pub fn classify(sql: &str) -> Result<Vec<Class>, ClassifyError> {
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
        .map(|part| Ok(classify_one(&dialect, part)))
        .collect()
}

fn classify_one(dialect: &PostgreSqlDialect, tokens: &[Token]) -> Class {
    if let Some(refused) = refused(tokens) {
        return refused;
    }
    if let Some(set) = own_variable(tokens) {
        return set;
    }
    let mut parser = Parser::new(dialect).with_tokens(tokens.to_vec());
    let parsed = parser.parse_statement();
    // Tokens that remain show that the parser read only a part of the statement.
    match parsed {
        Ok(statement) if parser.peek_token().token == Token::EOF => of_statement(statement, tokens),
        _ => of_words(tokens),
    }
}

fn of_statement(statement: Statement, tokens: &[Token]) -> Class {
    match statement {
        Statement::Query(query) => {
            let plain = query.locks.is_empty() && !matches!(*query.body, SetExpr::Insert(_));
            read_if(plain && is_pure(tokens))
        }
        Statement::ShowVariable { .. } => Class::Read,
        Statement::Explain { .. } | Statement::ExplainTable { .. } => read_if(is_pure(tokens)),
        Statement::StartTransaction { modes, .. } => Class::Begin {
            read_only: modes.contains(&TransactionMode::AccessMode(
                TransactionAccessMode::ReadOnly,
            )),
        },
        Statement::Commit { .. } => Class::Commit,
        Statement::Rollback { savepoint, .. } => match savepoint {
            None => Class::Rollback,
            Some(name) => Class::RollbackTo(name.value),
        },
        Statement::Savepoint { name } => Class::Savepoint(name.value),
        Statement::Set(set) => of_set(set),
        Statement::Reset(reset) => match reset.reset {
            Reset::ALL => set(String::new(), None, false),
            Reset::SessionAuthorization => identity(),
            Reset::ConfigurationParameter(name) => {
                set(name.to_string().to_ascii_lowercase(), None, false)
            }
        },
        Statement::Discard {
            object_type: DiscardObject::ALL,
        } => Class::DiscardAll,
        Statement::Deallocate { name, .. } => {
            let all = name.quote_style.is_none() && name.value.eq_ignore_ascii_case("all");
            Class::Deallocate((!all).then_some(name.value))
        }
        Statement::CreateTable(table) if table.temporary => temporary(),
        Statement::CreateView(view) if view.temporary => temporary(),
        Statement::Declare { stmts, .. } if stmts.iter().any(|s| s.hold == Some(true)) => {
            Class::Unsupported {
                statement: "DECLARE ... WITH HOLD",
                alternative: "use a cursor inside one transaction",
            }
        }
        _ => Class::Write,
    }
}

fn of_set(statement: Set) -> Class {
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
        // Lasts until the end of the transaction.
        Set::SetTransaction { session: false, .. } => Class::Write,
        _ => Class::Unsupported {
            statement: "this form of SET",
            alternative: "set one variable with SET name = value",
        },
    }
}

fn set(name: String, value: Option<String>, local: bool) -> Class {
    if words::listed(words::IDENTITY_VARIABLES, &name) {
        return identity();
    }
    // The name is written into statements again when the variable is set on other connections.
    let plain = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
    if !name.chars().all(plain) {
        return Class::Unsupported {
            statement: "this name of a variable",
            alternative: "use letters, digits, underscores and full stops",
        };
    }
    let value = value.filter(|text| !text.eq_ignore_ascii_case("default"));
    Class::Set(SetVariable { name, value, local })
}

/// `SET`, `RESET` or `SHOW` of a variable of the proxy.
fn own_variable(tokens: &[Token]) -> Option<Class> {
    let mut rest = tokens;
    let verb = word(rest.first()?)?;
    rest = &rest[1..];
    while rest
        .first()
        .and_then(word)
        .is_some_and(|w| w == "SESSION" || w == "LOCAL")
    {
        rest = &rest[1..];
    }
    let [
        Token::Word(space),
        Token::Period,
        Token::Word(field),
        rest @ ..,
    ] = rest
    else {
        return None;
    };
    let name = format!("{}.{}", space.value, field.value).to_ascii_lowercase();
    if !name.starts_with(OWN_PREFIX) {
        return None;
    }
    let value = match (verb.as_str(), rest) {
        ("SHOW", []) => return Some(Class::Show(name)),
        ("RESET", []) => None,
        ("SET", [_, value]) => Some(value.to_string()),
        _ => return None,
    };
    Some(set(name, value, false))
}

/// Statements whose effect outlives the transaction on the connection itself.
fn refused(tokens: &[Token]) -> Option<Class> {
    let start: Vec<String> = tokens.iter().take(3).filter_map(word).collect();
    let start: Vec<&str> = start.iter().map(String::as_str).collect();
    match start.as_slice() {
        ["SET" | "RESET", "SESSION", "AUTHORIZATION"] | ["SET" | "RESET", "ROLE", ..] => {
            return Some(identity());
        }
        ["SET", "LOCAL" | "SESSION", "ROLE"] => return Some(identity()),
        _ => {}
    }
    let table = words::REFUSED_STARTS.iter();
    for (prefix, statement, alternative) in table {
        if start.starts_with(prefix) {
            return Some(Class::Unsupported {
                statement,
                alternative,
            });
        }
    }
    for pair in tokens.windows(2) {
        let Some(name) = word(&pair[0]).filter(|_| pair[1] == Token::LParen) else {
            continue;
        };
        if name.contains("ADVISORY") && !name.contains("XACT") {
            return Some(Class::Unsupported {
                statement: "session advisory lock",
                alternative: "use pg_advisory_xact_lock inside a transaction",
            });
        }
        if name == "SET_CONFIG" {
            return Some(Class::Unsupported {
                statement: "set_config",
                alternative: "use SET name = value",
            });
        }
    }
    // `SELECT ... INTO TEMP` creates a temporary table.
    tokens
        .windows(2)
        .any(|pair| {
            word(&pair[0]).as_deref() == Some("INTO")
                && word(&pair[1]).is_some_and(|w| w == "TEMP" || w == "TEMPORARY")
        })
        .then(temporary)
}

/// Class of a statement that sqlparser cannot read: known verbs are writes, since PostgreSQL has
/// forms that sqlparser lacks; other verbs are refused, since their effect is not known.
fn of_words(tokens: &[Token]) -> Class {
    match tokens.first().and_then(word) {
        Some(verb) if words::listed(words::WRITE_VERBS, &verb) => Class::Write,
        _ => Class::Unsupported {
            statement: "a statement that the proxy cannot read",
            alternative: "check its syntax",
        },
    }
}

/// Whether the tokens contain neither a word that changes data nor a call of a function that is
/// not known to be pure.
fn is_pure(tokens: &[Token]) -> bool {
    let changes = tokens
        .iter()
        .filter_map(word)
        .any(|w| words::listed(words::CHANGING, &w));
    let calls = tokens.windows(2).all(|pair| match &pair[0] {
        Token::Word(name) if pair[1] == Token::LParen => {
            name.quote_style.is_none()
                && (words::listed(words::BEFORE_PARENTHESIS, &name.value.to_ascii_uppercase())
                    || words::listed(words::PURE_FUNCTIONS, &name.value.to_ascii_lowercase()))
        }
        _ => true,
    });
    // A qualified name may be any function, even if its last part is a known name.
    let qualified = tokens.windows(3).any(|part| {
        part[0] == Token::Period && matches!(part[1], Token::Word(_)) && part[2] == Token::LParen
    });
    !changes && calls && !qualified
}

fn read_if(read: bool) -> Class {
    if read { Class::Read } else { Class::Write }
}

fn word(token: &Token) -> Option<String> {
    match token {
        Token::Word(word) => Some(word.value.to_ascii_uppercase()),
        _ => None,
    }
}

fn identity() -> Class {
    Class::Unsupported {
        statement: "change of role or session authorization",
        alternative: "connect with the other organisation's key",
    }
}

fn temporary() -> Class {
    Class::Unsupported {
        statement: "temporary table",
        alternative: "use a common table expression or a permanent table",
    }
}

//! Infers the types of parameters from their surroundings.

use sqlparser::tokenizer::Token;
use tokio_postgres::types::Type;

use crate::member::schema::Schema;
use crate::member::schema::type_named;
use crate::member::sql;
use crate::member::sql::Kind;
use crate::member::sql::Parsed;
use crate::member::sql::word;
use crate::member::translate::closing;
use crate::member::translate::placeholder;
use crate::member::verbs;

/// Types of a statement's parameters. Types named by the client take precedence.
pub(crate) fn param_types(parsed: &Parsed, schema: &Schema, given: &[u32]) -> Vec<Type> {
    let tokens = &parsed.tokens;
    let count = tokens.iter().filter_map(placeholder).max().unwrap_or(0);
    let mut types: Vec<Option<Type>> = (0..count.max(given.len()))
        .map(|at| given.get(at).and_then(|oid| Type::from_oid(*oid)))
        .map(|kind| kind.filter(|kind| *kind != Type::UNKNOWN))
        .collect();
    for (at, token) in tokens.iter().enumerate() {
        let Some(number) = placeholder(token) else {
            continue;
        };
        if types[number - 1].is_none() {
            types[number - 1] = type_at(parsed, at, schema);
        }
    }
    types
        .into_iter()
        .map(|kind| kind.unwrap_or(Type::TEXT))
        .collect()
}

fn type_at(parsed: &Parsed, at: usize, schema: &Schema) -> Option<Type> {
    let tokens = &parsed.tokens;
    if tokens.get(at + 1) == Some(&Token::DoubleColon) {
        return Some(type_named(&word(tokens.get(at + 2))));
    }
    if let Kind::Platform { function, args } = &parsed.kind {
        let position = args.iter().position(|arg| *arg == tokens[at])?;
        return Some(verbs::param_type(function, position));
    }
    let before = |back: usize| at.checked_sub(back).and_then(|at| tokens.get(at));
    match word(before(1)).as_str() {
        "LIMIT" | "OFFSET" => return Some(Type::INT8),
        "LIKE" | "ILIKE" => return Some(Type::TEXT),
        _ => {}
    }
    if before(1) == Some(&Token::LParen) && word(before(2)) == "PG_SLEEP" {
        return Some(Type::FLOAT8);
    }
    inserted_column(tokens, at, schema)
        .or_else(|| compared_column(tokens, at, schema))
        .or_else(|| literal_beside(tokens, at))
}

/// Column that a value of INSERT ... VALUES goes to.
fn inserted_column(tokens: &[Token], at: usize, schema: &Schema) -> Option<Type> {
    if word(tokens.first()) != "INSERT" {
        return None;
    }
    let values = tokens.iter().position(|t| word(Some(t)) == "VALUES")?;
    let into = tokens.iter().position(|t| word(Some(t)) == "INTO")?;
    let columns = schema.columns(&sql::name(tokens.get(into + 1)?))?;
    let mut open = values + 1;
    while tokens.get(open) == Some(&Token::LParen) {
        let close = closing(tokens, open)?;
        if at > open && at < close {
            let number = commas(&tokens[open + 1..at]);
            if tokens.get(into + 2) != Some(&Token::LParen) {
                return columns.get(number).map(|(_, kind)| kind.clone());
            }
            // Names and commas alternate after the opening parenthesis.
            let column = sql::name(tokens.get(into + 3 + 2 * number)?);
            let (_, kind) = columns.iter().find(|(name, _)| *name == column)?;
            return Some(kind.clone());
        }
        open = close + 2;
    }
    None
}

/// Commas outside nested parentheses.
fn commas(tokens: &[Token]) -> usize {
    let mut depth = 0;
    let mut count = 0;
    for token in tokens {
        match token {
            Token::LParen => depth += 1,
            Token::RParen => depth -= 1,
            Token::Comma if depth == 0 => count += 1,
            _ => {}
        }
    }
    count
}

/// Column that the parameter is compared or combined with: the nearest one before it, or else
/// the next one after it.
fn compared_column(tokens: &[Token], at: usize, schema: &Schema) -> Option<Type> {
    let column = |token: &Token| match token {
        Token::Word(_) => schema.column(&sql::name(token), tokens),
        _ => None,
    };
    let ends = |token: &Token| {
        matches!(
            word(Some(token)).as_str(),
            "WHERE" | "AND" | "OR" | "SET" | "SELECT" | "WHEN" | "THEN" | "ELSE" | "ON" | "HAVING"
        )
    };
    let before = tokens[..at].iter().rev().take_while(|t| !ends(t));
    let after = tokens[at + 1..].iter().take_while(|t| !ends(t));
    // BETWEEN x AND y ends at its own AND, so its second value looks past it.
    let between =
        at >= 4 && word(tokens.get(at - 1)) == "AND" && word(tokens.get(at - 3)) == "BETWEEN";
    if between {
        return column(&tokens[at - 4]);
    }
    before.chain(after).find_map(column)
}

/// `$1 + 1` and the like.
fn literal_beside(tokens: &[Token], at: usize) -> Option<Type> {
    let arithmetic = |t: &Token| {
        matches!(
            t,
            Token::Plus | Token::Minus | Token::Mul | Token::Div | Token::Eq
        )
    };
    let operand = |operator: Option<&Token>, operand: Option<&Token>| match (operator, operand) {
        (Some(operator), Some(Token::Number(text, _))) if arithmetic(operator) => {
            Some(if text.contains('.') {
                Type::FLOAT8
            } else {
                Type::INT4
            })
        }
        _ => None,
    };
    operand(tokens.get(at + 1), tokens.get(at + 2)).or_else(|| {
        let before = |back: usize| at.checked_sub(back).and_then(|at| tokens.get(at));
        operand(before(1), before(2))
    })
}

//! Infers the types of result columns from the select list.

use sqlparser::tokenizer::Token;
use tokio_postgres::types::Type;

use crate::member::schema::Schema;
use crate::member::schema::type_named;
use crate::member::sql;
use crate::member::sql::word;
use crate::member::translate::call_end;
use crate::member::translate::cast_end;
use crate::member::translate::closing;
use crate::member::translate::placeholder;

/// Names and types of a statement's result columns, given the names that SQLite uses.
pub(crate) fn columns(
    tokens: &[Token],
    names: &[String],
    schema: &Schema,
    params: &[Type],
) -> Vec<(String, Type)> {
    let scope = Scope {
        tokens,
        schema,
        params,
    };
    let items = scope.items(tokens);
    if items.len() == names.len() && !items.iter().any(|item| item.ends_with(&[Token::Mul])) {
        return items
            .iter()
            .map(|item| (item_name(item), scope.item_type(item)))
            .collect();
    }
    names
        .iter()
        .map(|name| {
            let column = schema.column(&name.to_ascii_lowercase(), tokens);
            let kind = column.unwrap_or_else(|| scope.alias_type(&items, name));
            (name.clone(), kind)
        })
        .collect()
}

/// Name of a column as PostgreSQL derives it.
fn item_name(item: &[Token]) -> String {
    match item {
        [.., Token::Word(word)] if word.value.eq_ignore_ascii_case("end") => "case".to_owned(),
        [.., last @ Token::Word(_)] => sql::name(last),
        [function @ Token::Word(_), Token::LParen, ..] => sql::name(function),
        _ => "?column?".to_owned(),
    }
}

struct Scope<'a> {
    tokens: &'a [Token],
    schema: &'a Schema,
    params: &'a [Type],
}

impl Scope<'_> {
    /// Items of the outermost select list or RETURNING list.
    fn items<'t>(&self, tokens: &'t [Token]) -> Vec<&'t [Token]> {
        let depths = depths(tokens);
        let keyword = match word(tokens.first()).as_str() {
            "INSERT" | "UPDATE" | "DELETE" => "RETURNING",
            _ => "SELECT",
        };
        let top = |at: &usize| depths[*at] == 0;
        let is = |at: &usize, keyword: &str| word(tokens.get(*at)) == keyword;
        let Some(start) = (0..tokens.len()).find(|at| top(at) && is(at, keyword)) else {
            return Vec::new();
        };
        let start = start + 1 + usize::from(word(tokens.get(start + 1)) == "DISTINCT");
        let ends = ["FROM", "WHERE", "UNION", "ORDER", "LIMIT", "GROUP", "FOR"];
        let end = (start..tokens.len())
            .find(|at| top(at) && ends.contains(&word(tokens.get(*at)).as_str()))
            .unwrap_or(tokens.len());
        let mut items = Vec::new();
        let mut from = start;
        for at in start..=end {
            if at == end || (top(&at) && tokens[at] == Token::Comma) {
                items.push(&tokens[from..at]);
                from = at + 1;
            }
        }
        items
    }

    /// Type of the item that has this alias, also in nested queries.
    fn alias_type(&self, items: &[&[Token]], name: &str) -> Type {
        let alias = |item: &&&[Token]| item.last().map(sql::name).as_deref() == Some(name);
        if let Some(item) = items.iter().find(alias) {
            return self.item_type(item);
        }
        for open in 0..self.tokens.len() {
            if self.tokens[open] != Token::LParen || word(self.tokens.get(open + 1)) != "SELECT" {
                continue;
            }
            let close = closing(self.tokens, open).unwrap_or(self.tokens.len());
            let nested = self.items(&self.tokens[open + 1..close]);
            if let Some(item) = nested.iter().find(alias) {
                return self.item_type(item);
            }
        }
        Type::TEXT
    }

    fn item_type(&self, item: &[Token]) -> Type {
        let alias = item.len() > 2 && word(item.get(item.len() - 2)) == "AS";
        self.expression(if alias { &item[..item.len() - 2] } else { item })
            .unwrap_or(Type::TEXT)
    }

    fn expression(&self, item: &[Token]) -> Option<Type> {
        let depths = depths(item);
        let top = |at: usize| depths[at] == 0;
        let position =
            |find: &dyn Fn(&Token) -> bool| (0..item.len()).find(|at| top(*at) && find(&item[*at]));
        if word(item.first()) == "CASE" {
            let then = position(&|t| word(Some(t)) == "THEN")?;
            let end = position(&|t| matches!(word(Some(t)).as_str(), "ELSE" | "END"))?;
            let next = (then + 1..end).find(|at| word(item.get(*at)) == "WHEN");
            return self.expression(&item[then + 1..next.unwrap_or(end)]);
        }
        if position(&is_boolean).is_some() {
            return Some(Type::BOOL);
        }
        if position(&|t| *t == Token::StringConcat).is_some() {
            return Some(Type::TEXT);
        }
        let operator = |t: &Token| {
            matches!(
                t,
                Token::Plus | Token::Minus | Token::Mul | Token::Div | Token::Mod
            )
        };
        if let Some(at) = position(&operator) {
            let left = self.expression(&item[..at]);
            let right = self.expression(&item[at + 1..]);
            return wider(left, right);
        }
        if let Some(at) = position(&|t| *t == Token::DoubleColon)
            && cast_end(item, at) == item.len()
        {
            return Some(type_named(&word(item.get(at + 1))));
        }
        match item {
            [] => None,
            [Token::Number(text, _)] if text.contains('.') => Some(Type::FLOAT8),
            [Token::Number(text, _)] if text.parse::<i32>().is_ok() => Some(Type::INT4),
            [Token::Number(..)] => Some(Type::INT8),
            [token] if placeholder(token).is_some() => {
                self.params.get(placeholder(token)? - 1).cloned()
            }
            [token] if matches!(word(Some(token)).as_str(), "TRUE" | "FALSE") => Some(Type::BOOL),
            [token] | [_, Token::Period, token] => self.column(token),
            [Token::LParen, inner @ .., Token::RParen]
                if closing(item, 0) == Some(item.len() - 1) =>
            {
                if word(inner.first()) == "SELECT" {
                    return self.items(inner).first().map(|item| self.item_type(item));
                }
                self.expression(inner)
            }
            _ if call_end(item, 0) == Some(item.len() - 1) => self.call(item),
            // An alias without AS.
            [rest @ .., Token::Word(_)] => self.expression(rest),
            _ => None,
        }
    }

    fn column(&self, token: &Token) -> Option<Type> {
        match token {
            Token::Word(_) => self.schema.column(&sql::name(token), self.tokens),
            _ => None,
        }
    }

    fn call(&self, item: &[Token]) -> Option<Type> {
        let inner = &item[2..item.len() - 1];
        let first = inner.split(|t| *t == Token::Comma).next().unwrap_or(inner);
        match word(item.first()).as_str() {
            "COUNT" | "CHANGES" | "LAST_INSERT_ROWID" => Some(Type::INT8),
            "SUM" => match self.expression(first) {
                Some(Type::FLOAT8 | Type::FLOAT4) => Some(Type::FLOAT8),
                _ => Some(Type::INT8),
            },
            "AVG" | "RANDOM" => Some(Type::FLOAT8),
            "LENGTH" | "PG_BACKEND_PID" => Some(Type::INT4),
            "EXISTS" | "PG_IS_IN_RECOVERY" => Some(Type::BOOL),
            "PG_SLEEP" => Some(Type::VOID),
            "CAST" => {
                let at = inner.iter().rposition(|t| word(Some(t)) == "AS")?;
                Some(type_named(&word(inner.get(at + 1))))
            }
            "MIN" | "MAX" | "COALESCE" | "ABS" | "NULLIF" => self.expression(first),
            _ => None,
        }
    }
}

fn is_boolean(token: &Token) -> bool {
    let word = word(Some(token));
    matches!(
        token,
        Token::Eq | Token::Neq | Token::Lt | Token::Gt | Token::LtEq | Token::GtEq
    ) || ["AND", "OR", "NOT", "IS", "IN", "LIKE", "BETWEEN"].contains(&word.as_str())
}

fn wider(left: Option<Type>, right: Option<Type>) -> Option<Type> {
    let order = [
        Type::INT2,
        Type::INT4,
        Type::INT8,
        Type::FLOAT4,
        Type::FLOAT8,
    ];
    let rank = |kind: &Option<Type>| order.iter().position(|o| Some(o) == kind.as_ref());
    if rank(&left) >= rank(&right) {
        left
    } else {
        right
    }
}

/// Depth of parentheses around each token.
fn depths(tokens: &[Token]) -> Vec<usize> {
    let mut depth: usize = 0;
    let mut depths = Vec::with_capacity(tokens.len());
    for token in tokens {
        if *token == Token::RParen {
            depth = depth.saturating_sub(1);
        }
        depths.push(depth);
        if *token == Token::LParen {
            depth += 1;
        }
    }
    depths
}

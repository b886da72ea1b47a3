//! Record of what a member has received.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// Statements and startups kept; later ones are counted as dropped.
const LIMIT: usize = 200_000;

/// A connection's startup.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Startup {
    pub parameters: BTreeMap<String, String>,
    pub password: Option<String>,
}

/// A statement that arrived on a connection.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Statement {
    /// Number of the connection.
    pub connection: i32,
    /// User of the startup message.
    pub user: String,
    /// User in force, after SET SESSION AUTHORIZATION.
    pub organisation: String,
    pub sql: String,
    /// Parameters as text.
    pub params: Vec<String>,
    /// Error, if it was refused.
    pub error: Option<String>,
}

/// What a member has received.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Recording {
    pub enabled: bool,
    pub statements: Vec<Statement>,
    pub startups: Vec<Startup>,
    /// Open connections of user `proxy`, now and at most.
    pub connections: usize,
    pub peak: usize,
    pub dropped: usize,
    /// Successful SELECT statements of data connections, by the first table that they name.
    #[serde(default)]
    pub reads: BTreeMap<String, u64>,
}

impl Recording {
    pub(crate) fn startup(&mut self, startup: Startup) {
        if self.startups.len() < LIMIT {
            self.startups.push(startup);
        } else {
            self.dropped += 1;
        }
    }

    pub(crate) fn statement(&mut self, statement: Statement) {
        if let (Some(table), None) = (table_read(&statement.sql), &statement.error) {
            *self.reads.entry(table.to_owned()).or_default() += 1;
        }
        if !self.enabled {
            return;
        }
        if self.statements.len() < LIMIT {
            self.statements.push(statement);
        } else {
            self.dropped += 1;
        }
    }

    /// Starts or stops recording statements and forgets what was recorded.
    pub(crate) fn restart(&mut self, enabled: bool) {
        *self = Self {
            enabled,
            connections: self.connections,
            peak: self.connections,
            ..Self::default()
        };
    }
}

/// Table of a SELECT statement.
fn table_read(sql: &str) -> Option<&str> {
    let mut words = sql.split_whitespace();
    if !words.next()?.eq_ignore_ascii_case("select") {
        return None;
    }
    words.find(|word| word.eq_ignore_ascii_case("from"))?;
    words.next()
}

//! Tables and columns, from which types are inferred.

use std::collections::BTreeMap;

use rusqlite::Connection;
use sqlparser::tokenizer::Token;
use tokio_postgres::types::Type;

use crate::member::SqlError;
use crate::member::sql;

/// Tables and columns, from which types are inferred.
#[derive(Debug, Default)]
pub(crate) struct Schema {
    version: Option<i64>,
    tables: BTreeMap<String, Vec<(String, Type)>>,
}

impl Schema {
    /// Reads the tables again if they have changed.
    pub(crate) fn refresh(&mut self, db: &Connection) -> Result<(), SqlError> {
        let version = db.query_row("PRAGMA schema_version", [], |row| row.get(0))?;
        if self.version == Some(version) {
            return Ok(());
        }
        let mut tables: BTreeMap<String, Vec<(String, Type)>> = BTreeMap::new();
        let mut statement = db.prepare(
            "SELECT m.name, c.name, c.type FROM sqlite_schema m, pragma_table_info(m.name) c
             WHERE m.type IN ('table', 'view') ORDER BY m.name, c.cid",
        )?;
        let mut rows = statement.query([])?;
        while let Some(row) = rows.next()? {
            let table: String = row.get(0)?;
            let column: String = row.get(1)?;
            let declared: String = row.get(2)?;
            tables
                .entry(table.to_ascii_lowercase())
                .or_default()
                .push((column.to_ascii_lowercase(), type_named(&declared)));
        }
        self.version = Some(version);
        self.tables = tables;
        Ok(())
    }

    pub(crate) fn columns(&self, table: &str) -> Option<&[(String, Type)]> {
        self.tables.get(table).map(Vec::as_slice)
    }

    /// Type of a column, preferring the tables that the statement names.
    pub(crate) fn column(&self, column: &str, statement: &[Token]) -> Option<Type> {
        let find = |columns: &[(String, Type)]| {
            let (_, kind) = columns.iter().find(|(name, _)| name == column)?;
            Some(kind.clone())
        };
        statement
            .iter()
            .filter_map(|token| self.tables.get(&sql::name(token)))
            .chain(self.tables.values())
            .find_map(|columns| find(columns))
    }
}

/// Type of a name such as `BIGINT` or `varchar(10)`; unknown names are text.
pub(crate) fn type_named(name: &str) -> Type {
    let upper = name.to_ascii_uppercase();
    let base = upper.split('(').next().unwrap_or_default().trim();
    match base {
        "SMALLINT" | "INT2" => Type::INT2,
        "INT" | "INTEGER" | "INT4" | "SERIAL" => Type::INT4,
        "BIGINT" | "INT8" | "BIGSERIAL" => Type::INT8,
        "REAL" | "FLOAT4" => Type::FLOAT4,
        "DOUBLE" | "DOUBLE PRECISION" | "FLOAT" | "FLOAT8" | "NUMERIC" | "DECIMAL" => Type::FLOAT8,
        "BOOL" | "BOOLEAN" => Type::BOOL,
        "BYTEA" | "BLOB" => Type::BYTEA,
        _ => Type::TEXT,
    }
}

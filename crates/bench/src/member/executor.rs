//! Executes the statements of one connection.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use sqlparser::tokenizer::Token;
use tokio_postgres::types::Type;

use crate::member::SqlError;
use crate::member::datum::Datum;
use crate::member::engine::Access;
use crate::member::engine::Block;
use crate::member::engine::Engine;
use crate::member::infer;
use crate::member::outbox::Column;
use crate::member::prepared::Outcome;
use crate::member::prepared::Prepared;
use crate::member::select_list;
use crate::member::shared::Shared;
use crate::member::sql;
use crate::member::sql::Kind;
use crate::member::sql::Parsed;
use crate::member::startup::Client;
use crate::member::startup::PLATFORM_USER;
use crate::member::translate;
use crate::member::variables::Variables;
use crate::member::verbs;

/// Executes the statements of one connection.
pub(crate) struct Executor {
    shared: Arc<Shared>,
    pub(crate) client: Client,
    pub(crate) engine: Engine,
    pub(crate) variables: Variables,
}

impl Executor {
    pub(crate) fn new(shared: Arc<Shared>, client: Client) -> Result<Self, SqlError> {
        let engine = Engine::open(Arc::clone(&shared), Arc::clone(&client.cancel))?;
        let variables = Variables::new(client.user.clone(), client.options.clone());
        Ok(Self {
            shared,
            client,
            engine,
            variables,
        })
    }

    pub(crate) fn is_data(&self) -> bool {
        self.client.user != PLATFORM_USER
    }

    /// Infers the types of a statement's parameters and result columns.
    pub(crate) async fn prepare(
        &mut self,
        parsed: Parsed,
        given: &[u32],
    ) -> Result<Prepared, SqlError> {
        self.check_block(&parsed.kind)?;
        let text = |names: &[&str]| {
            let column = |name: &&str| Column {
                name: (*name).to_owned(),
                kind: Type::TEXT,
            };
            names.iter().map(column).collect()
        };
        let mut params = Vec::new();
        let columns = match &parsed.kind {
            Kind::Platform { function, .. } => {
                params = infer::param_types(&parsed, &Default::default(), given);
                text(verbs::columns(function).unwrap_or_default())
            }
            Kind::Show(name) => text(&[name]),
            Kind::Read | Kind::Locking | Kind::Write { schema: false } => {
                self.engine.prepare().await?;
                let tokens = &parsed.tokens;
                let sql = translate::translate(tokens, None, &self.variables, self.client.id)?.sql;
                let names = self.engine.columns(&sql)?;
                let schema = self.engine.schema()?;
                params = infer::param_types(&parsed, schema, given);
                select_list::columns(tokens, &names, schema, &params)
                    .into_iter()
                    .map(|(name, kind)| Column { name, kind })
                    .collect()
            }
            _ => Vec::new(),
        };
        Ok(Prepared {
            parsed,
            params,
            columns,
        })
    }

    fn check_block(&self, kind: &Kind) -> Result<(), SqlError> {
        let ends = matches!(kind, Kind::Commit | Kind::Rollback | Kind::RollbackTo(_));
        if self.engine.block == Block::Failed && !ends {
            return Err(SqlError::new(
                "25P02",
                "current transaction is aborted, commands ignored until end of transaction block",
            ));
        }
        Ok(())
    }

    /// Executes a statement.
    pub(crate) async fn execute(
        &mut self,
        prepared: &Prepared,
        params: &[Datum],
    ) -> Result<Outcome, SqlError> {
        let kind = &prepared.parsed.kind;
        self.check_block(kind)?;
        let tag = match kind {
            Kind::Empty => return Ok(Outcome::default()),
            Kind::Read | Kind::Locking | Kind::Write { .. } => {
                return self.execute_sql(prepared, params).await;
            }
            Kind::Platform { function, args } => {
                let row = self.call(function, args, params).await?;
                return Ok(one_row(prepared, row));
            }
            Kind::Show(name) => {
                let value = self.variables.get(name).map(str::to_owned);
                let value = value.ok_or_else(|| {
                    let message = format!("unrecognized configuration parameter \"{name}\"");
                    SqlError::new("42704", message)
                })?;
                let outcome = one_row(prepared, vec![value]);
                return Ok(Outcome {
                    tag: Some("SHOW".to_owned()),
                    ..outcome
                });
            }
            Kind::Begin { snapshot } => {
                if self.engine.block == Block::None {
                    self.engine.prepare().await?;
                    self.variables.begin();
                    self.engine.begin(*snapshot)?;
                }
                "BEGIN"
            }
            Kind::Commit => self.commit()?,
            Kind::Rollback => {
                self.engine.rollback();
                self.variables.end(false);
                "ROLLBACK"
            }
            Kind::Savepoint(name) => {
                self.need_block("SAVEPOINT")?;
                self.engine.prepare().await?;
                self.engine.start_write().await?;
                self.engine.savepoint("SAVEPOINT", name)?;
                "SAVEPOINT"
            }
            Kind::Release(name) => {
                self.engine.savepoint("RELEASE", name)?;
                "RELEASE"
            }
            Kind::RollbackTo(name) => {
                self.engine.savepoint("ROLLBACK TO", name)?;
                self.engine.block = Block::Open;
                "ROLLBACK"
            }
            Kind::Set { name, value, local } => {
                self.variables.set(name, value.clone(), *local);
                "SET"
            }
            Kind::Authorize(user) => {
                self.variables.authorize(user.clone());
                "SET"
            }
            Kind::ResetAll => {
                self.variables.reset();
                "RESET"
            }
            Kind::DiscardAll => {
                self.variables.reset();
                self.variables.authorize(None);
                "DISCARD ALL"
            }
            Kind::Deallocate(_) => "DEALLOCATE",
        };
        Ok(Outcome {
            tag: Some(tag.to_owned()),
            ..Outcome::default()
        })
    }

    fn need_block(&self, command: &str) -> Result<(), SqlError> {
        if self.engine.block == Block::None {
            let message = format!("{command} can only be used in transaction blocks");
            return Err(SqlError::new("25P01", message));
        }
        Ok(())
    }

    /// A failed transaction is rolled back and the tag says so.
    fn commit(&mut self) -> Result<&'static str, SqlError> {
        if self.engine.block == Block::Failed {
            self.engine.rollback();
            self.variables.end(false);
            return Ok("ROLLBACK");
        }
        let result = self.engine.commit();
        self.variables.end(result.is_ok());
        result.map(|()| "COMMIT")
    }

    /// Ends a transaction that was not begun by the client.
    pub(crate) fn finish(&mut self) -> Result<(), SqlError> {
        if self.engine.block == Block::None {
            self.engine.commit()?;
        }
        Ok(())
    }

    /// Waits for a time that a cancel request ends.
    async fn pause(&mut self, time: Duration) -> Result<(), SqlError> {
        if time.is_zero() {
            return Ok(());
        }
        tokio::select! {
            () = tokio::time::sleep(time) => Ok(()),
            () = self.client.cancel.notify.notified() => Err(SqlError::cancelled()),
        }
    }

    async fn execute_sql(
        &mut self,
        prepared: &Prepared,
        params: &[Datum],
    ) -> Result<Outcome, SqlError> {
        let access = match prepared.parsed.kind {
            Kind::Read => Access::Read,
            Kind::Locking => Access::Lock,
            Kind::Write { schema: true } => Access::Schema,
            _ => Access::Rows,
        };
        let tokens = &prepared.parsed.tokens;
        let translated =
            translate::translate(tokens, Some(params), &self.variables, self.client.id)?;
        self.engine.prepare().await?;
        if access != Access::Read {
            // The write lock comes before the slot: a statement that waits for a lock must not
            // occupy the slot in which the lock's holder has to commit.
            self.engine.start_write().await?;
        }
        let shared = Arc::clone(&self.shared);
        let _slot = if self.is_data() {
            tokio::select! {
                slot = shared.slots.acquire() => slot.ok(),
                () = self.client.cancel.notify.notified() => return Err(SqlError::cancelled()),
            }
        } else {
            None
        };
        let service = Duration::from_micros(shared.service_us.load(Ordering::Relaxed));
        self.pause(service + translated.sleep).await?;
        let rows = self.engine.execute(&translated.sql, params, access)?;
        let count = match access {
            Access::Rows => rows.changed,
            _ => rows.rows.len() as u64,
        };
        Ok(Outcome {
            columns: prepared.columns.clone(),
            rows: rows.rows.into(),
            tag: Some(tag(tokens, count)),
        })
    }

    async fn call(
        &mut self,
        function: &str,
        args: &[Token],
        params: &[Datum],
    ) -> Result<Vec<String>, SqlError> {
        if self.is_data() {
            return Err(SqlError::new(
                "42501",
                format!("permission denied for function {function}: connect as user platform"),
            ));
        }
        let value = |token: &Token| match (token, translate::placeholder(token)) {
            (_, Some(number)) => params.get(number - 1).cloned().unwrap_or(Datum::Null),
            (Token::Number(text, _), _) => Datum::Text(text.clone()),
            (token, _) => Datum::Text(sql::name(token)),
        };
        let args: Vec<Datum> = args.iter().map(value).collect();
        tokio::select! {
            row = verbs::call(&self.shared, function, &args) => row,
            () = self.client.cancel.notify.notified() => Err(SqlError::cancelled()),
        }
    }
}

fn one_row(prepared: &Prepared, row: Vec<String>) -> Outcome {
    Outcome {
        columns: prepared.columns.clone(),
        rows: [row.into_iter().map(Datum::Text).collect()].into(),
        tag: Some("SELECT 1".to_owned()),
    }
}

fn tag(tokens: &[Token], count: u64) -> String {
    let words: Vec<String> = tokens.iter().map(|t| sql::word(Some(t))).collect();
    match words[0].as_str() {
        "WITH" => words
            .iter()
            .find(|w| ["INSERT", "UPDATE", "DELETE"].contains(&w.as_str()))
            .map_or_else(|| format!("SELECT {count}"), |w| tag_of(w, count)),
        "CREATE" | "DROP" | "ALTER" => {
            let object = words[1..]
                .iter()
                .find(|w| ["TABLE", "INDEX", "VIEW", "TRIGGER"].contains(&w.as_str()));
            format!("{} {}", words[0], object.map_or("TABLE", String::as_str))
        }
        "TRUNCATE" => "TRUNCATE TABLE".to_owned(),
        "INSERT" | "UPDATE" | "DELETE" => tag_of(&words[0], count),
        _ => format!("SELECT {count}"),
    }
}

fn tag_of(command: &str, count: u64) -> String {
    match command {
        "INSERT" => format!("INSERT 0 {count}"),
        other => format!("{other} {count}"),
    }
}

//! Transactions of one connection.

use std::sync::Arc;

use magnoliahatch_core::ids::Term;
use magnoliahatch_core::position::LogPosition;
use rusqlite::Connection;
use tokio::sync::OwnedMutexGuard;

use crate::member::Role;
use crate::member::SqlError;
use crate::member::datum::Datum;
use crate::member::log::LoggedStatement;
use crate::member::schema::Schema;
use crate::member::shared::CancelTarget;
use crate::member::shared::Shared;
use crate::member::shared::lock;
use crate::member::storage;

/// Transaction block as the status byte of ReadyForQuery shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Block {
    /// No transaction, or one that ends with the message.
    None,
    Open,
    Failed,
}

/// A transaction that holds the write lock.
struct Writing {
    _guard: OwnedMutexGuard<()>,
    term: Term,
    statements: Vec<LoggedStatement>,
    /// Number of statements at each open savepoint.
    savepoints: Vec<(String, usize)>,
}

/// Rows of a statement.
#[derive(Debug, Default)]
pub(crate) struct Rows {
    pub(crate) rows: Vec<Vec<Datum>>,
    pub(crate) changed: u64,
}

/// How a statement is executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Access {
    Read,
    /// Takes the write lock and changes nothing.
    Lock,
    Rows,
    Schema,
}

/// Transactions of one connection. Reads of a transaction that has not written run on the newest
/// state each (READ COMMITTED), unless the transaction was begun with a snapshot.
pub(crate) struct Engine {
    shared: Arc<Shared>,
    cancel: Arc<CancelTarget>,
    db: Connection,
    generation: u64,
    pub(crate) block: Block,
    snapshot: bool,
    writing: Option<Writing>,
    /// Last position that the connection has seen.
    pub(crate) position: LogPosition,
    schema: Schema,
}

impl Engine {
    pub(crate) fn open(shared: Arc<Shared>, cancel: Arc<CancelTarget>) -> Result<Self, SqlError> {
        let (db, generation) = storage::open(&shared)?;
        *lock(&cancel.interrupt) = Some(db.get_interrupt_handle());
        let position = storage::position(&db)?;
        Ok(Self {
            shared,
            cancel,
            db,
            generation,
            block: Block::None,
            snapshot: false,
            writing: None,
            position,
            schema: Schema::default(),
        })
    }

    /// Term in which the connection holds the write lock.
    pub(crate) fn writing_term(&self) -> Option<Term> {
        self.writing.as_ref().map(|writing| writing.term)
    }

    /// Waits until the applied state can be read and opens its current generation.
    pub(crate) async fn prepare(&mut self) -> Result<(), SqlError> {
        if !self.db.is_autocommit() {
            return Ok(());
        }
        let shared = Arc::clone(&self.shared);
        tokio::select! {
            () = shared.wait_for(|group| group.ready().then_some(())) => {}
            () = self.cancel.notify.notified() => return Err(SqlError::cancelled()),
        }
        let generation = shared.generation.load(std::sync::atomic::Ordering::Acquire);
        if generation != self.generation {
            (self.db, self.generation) = storage::open(&shared)?;
            *lock(&self.cancel.interrupt) = Some(self.db.get_interrupt_handle());
        }
        Ok(())
    }

    /// Schema as the running transaction sees it.
    pub(crate) fn schema(&mut self) -> Result<&Schema, SqlError> {
        self.schema.refresh(&self.db)?;
        Ok(&self.schema)
    }

    /// Names of a statement's result columns, without executing it.
    pub(crate) fn columns(&self, sql: &str) -> Result<Vec<String>, SqlError> {
        let statement = self.db.prepare_cached(sql)?;
        Ok(statement.column_names().map(str::to_owned).collect())
    }

    pub(crate) fn begin(&mut self, snapshot: bool) -> Result<(), SqlError> {
        self.block = Block::Open;
        if snapshot && self.db.is_autocommit() {
            self.db.execute_batch("BEGIN")?;
            self.snapshot = true;
            self.position = storage::position(&self.db)?;
        }
        Ok(())
    }

    /// Takes the write lock and starts a write transaction if there is none.
    pub(crate) async fn start_write(&mut self) -> Result<(), SqlError> {
        if self.writing.is_some() {
            return Ok(());
        }
        let term = {
            let group = self.shared.group();
            if group.durable.role != Role::Primary {
                return Err(SqlError::read_only());
            }
            group.durable.term
        };
        let guard = tokio::select! {
            guard = Arc::clone(&self.shared.write_lock).lock_owned() => guard,
            () = self.cancel.notify.notified() => return Err(SqlError::cancelled()),
        };
        if !self.shared.group().leads(term) {
            return Err(SqlError::read_only());
        }
        if !self.snapshot {
            self.db.execute_batch("BEGIN IMMEDIATE")?;
            self.position = storage::position(&self.db)?;
        }
        self.writing = Some(Writing {
            _guard: guard,
            term,
            statements: Vec::new(),
            savepoints: Vec::new(),
        });
        Ok(())
    }

    /// Executes a statement in the running transaction, or a read in a transaction of its own.
    pub(crate) fn execute(
        &mut self,
        sql: &str,
        params: &[Datum],
        access: Access,
    ) -> Result<Rows, SqlError> {
        let own = self.db.is_autocommit();
        if own {
            self.db.execute_batch("BEGIN")?;
        }
        let result = self.run(sql, params, access, own);
        if own {
            self.db.execute_batch("COMMIT")?;
        }
        result
    }

    fn run(
        &mut self,
        sql: &str,
        params: &[Datum],
        access: Access,
        own: bool,
    ) -> Result<Rows, SqlError> {
        if own {
            self.position = storage::position(&self.db)?;
        }
        let mut statement = self.db.prepare_cached(sql)?;
        if !statement.readonly() && matches!(access, Access::Read | Access::Lock) {
            return Err(SqlError::new(
                "0A000",
                "this form of write is not supported",
            ));
        }
        storage::bind(&mut statement, params)?;
        let width = statement.column_count();
        let mut cursor = statement.raw_query();
        let mut rows = Vec::new();
        while let Some(row) = cursor.next()? {
            let values = (0..width).map(|at| Ok(Datum::from(row.get_ref(at)?)));
            rows.push(values.collect::<Result<Vec<_>, rusqlite::Error>>()?);
        }
        let changed = if access == Access::Rows {
            self.db.changes()
        } else {
            0
        };
        if let Some(writing) = self.writing.as_mut()
            && (changed > 0 || access == Access::Schema)
        {
            writing.statements.push(LoggedStatement {
                sql: sql.to_owned(),
                params: params.to_vec(),
            });
        }
        Ok(Rows { rows, changed })
    }

    /// Sets, releases or rolls back to a savepoint. The caller has started a transaction.
    pub(crate) fn savepoint(&mut self, verb: &str, name: &str) -> Result<(), SqlError> {
        let missing = || SqlError::new("3B001", format!("savepoint \"{name}\" does not exist"));
        let writing = self.writing.as_mut().ok_or_else(missing)?;
        let at = writing.savepoints.iter().rposition(|(n, _)| n == name);
        match verb {
            "SAVEPOINT" => {
                let count = writing.statements.len();
                writing.savepoints.push((name.to_owned(), count));
            }
            "RELEASE" => writing.savepoints.truncate(at.ok_or_else(missing)?),
            _ => {
                let at = at.ok_or_else(missing)?;
                writing.statements.truncate(writing.savepoints[at].1);
                writing.savepoints.truncate(at + 1);
            }
        }
        let quoted = name.replace('"', "\"\"");
        self.db.execute_batch(&format!("{verb} \"{quoted}\""))?;
        Ok(())
    }

    /// Commits; after an error the transaction is rolled back.
    pub(crate) fn commit(&mut self) -> Result<(), SqlError> {
        self.block = Block::None;
        self.snapshot = false;
        let writing = self.writing.take();
        if self.db.is_autocommit() {
            return Ok(());
        }
        let result = match writing {
            Some(writing) if !writing.statements.is_empty() => self.commit_write(writing),
            _ => self.db.execute_batch("COMMIT").map_err(SqlError::from),
        };
        if result.is_err() {
            self.rollback();
        }
        result
    }

    /// Commits in SQLite and appends to the log while no change of role can intervene.
    fn commit_write(&mut self, writing: Writing) -> Result<(), SqlError> {
        let Writing {
            _guard,
            term,
            statements,
            ..
        } = writing;
        let db = &self.db;
        self.position = self.shared.change(|group| {
            if !group.leads(term) {
                return Err(SqlError::new(
                    "40001",
                    "transaction rolled back: this member is no longer the primary",
                ));
            }
            let position = LogPosition {
                term,
                index: group.log.last().index + 1,
            };
            storage::set_position(db, position)?;
            db.execute_batch("COMMIT")?;
            group.append(statements)?;
            group.applied = position.index;
            Ok(position)
        })?;
        Ok(())
    }

    /// Notes an error. A transaction block without savepoints gives up its locks at once.
    pub(crate) fn fail(&mut self) {
        let savepoints = self
            .writing
            .as_ref()
            .is_some_and(|writing| !writing.savepoints.is_empty());
        let block = self.block;
        if block == Block::None || !savepoints {
            self.rollback();
        }
        if block != Block::None {
            self.block = Block::Failed;
        }
    }

    pub(crate) fn rollback(&mut self) {
        self.block = Block::None;
        self.snapshot = false;
        if !self.db.is_autocommit()
            && let Err(error) = self.db.execute_batch("ROLLBACK")
        {
            tracing::error!(event = 9102, %error, "rollback failed");
        }
        // The write lock is released only after SQLite's lock.
        self.writing = None;
    }
}

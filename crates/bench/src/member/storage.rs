//! Applied state in SQLite.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_core::position::LogPosition;
use rusqlite::Connection;
use rusqlite::Statement;

use crate::member::Role;
use crate::member::SqlError;
use crate::member::datum::Datum;
use crate::member::group::Group;
use crate::member::log::Entry;
use crate::member::shared::Shared;

/// Pause before an entry that cannot be applied is tried again.
const RETRY: Duration = Duration::from_millis(50);
/// Longest wait for SQLite's own locks, which are held for moments only.
const BUSY: Duration = Duration::from_secs(2);
/// Prepared statements kept by a connection.
const CACHED_STATEMENTS: usize = 256;

/// Opens the current generation of the applied state.
pub(crate) fn open(shared: &Shared) -> Result<(Connection, u64), SqlError> {
    // A rebuild replaces the file while it holds the group's lock.
    let _group = shared.group();
    let generation = shared.generation.load(Ordering::Acquire);
    Ok((connect(&shared.dir, generation)?, generation))
}

fn connect(dir: &Path, generation: u64) -> Result<Connection, SqlError> {
    let db = Connection::open(dir.join(format!("applied-{generation}.sqlite")))?;
    db.busy_timeout(BUSY)?;
    db.set_prepared_statement_cache_capacity(CACHED_STATEMENTS);
    db.execute_batch(
        "PRAGMA journal_mode = WAL; PRAGMA synchronous = OFF; PRAGMA foreign_keys = ON;",
    )?;
    Ok(db)
}

/// Term and index that the running transaction sees; also fixes its snapshot.
pub(crate) fn position(db: &Connection) -> Result<LogPosition, SqlError> {
    let mut statement = db.prepare_cached("SELECT term, idx FROM platform_applied")?;
    Ok(statement.query_row([], |row| {
        Ok(LogPosition {
            term: row.get::<_, i64>(0)? as u64,
            index: row.get::<_, i64>(1)? as u64,
        })
    })?)
}

/// Records the position of the transaction that is about to commit.
pub(crate) fn set_position(db: &Connection, position: LogPosition) -> Result<(), SqlError> {
    db.prepare_cached("UPDATE platform_applied SET term = ?, idx = ?")?
        .execute([position.term as i64, position.index as i64])?;
    Ok(())
}

/// Binds `$1`, `$2` and so on.
pub(crate) fn bind(statement: &mut Statement<'_>, params: &[Datum]) -> Result<(), SqlError> {
    for (number, datum) in params.iter().enumerate() {
        if let Some(at) = statement.parameter_index(&format!("${}", number + 1))? {
            statement.raw_bind_parameter(at, datum)?;
        }
    }
    Ok(())
}

/// Applies the log to the state, on replicas with the set delay.
pub(crate) struct Applier {
    shared: Arc<Shared>,
    db: Connection,
}

impl Applier {
    /// Builds the applied state from the log.
    pub(crate) fn open(shared: Arc<Shared>) -> Result<Self, SqlError> {
        let db = rebuild(&shared)?;
        Ok(Self { shared, db })
    }

    /// Runs until the task is dropped.
    pub(crate) async fn run(mut self) {
        loop {
            if let Err(error) = self.step().await {
                let member = &self.shared.settings.member;
                tracing::error!(event = 9101, member, %error, "apply failed");
                tokio::time::sleep(RETRY).await;
            }
        }
    }

    async fn step(&mut self) -> Result<(), SqlError> {
        let shared = &self.shared;
        // Subscribed before the state is read, so that no change is missed.
        let mut changes = shared.changed.subscribe();
        let (rebuild_now, due) = shared.wait_for(|group| due(shared, group)).await;
        if rebuild_now {
            self.db = rebuild(shared)?;
            return Ok(());
        }
        if due > Instant::now() {
            // A change of the lag or of the role may bring the time forward.
            tokio::select! {
                () = tokio::time::sleep_until(due.into()) => {}
                _ = changes.changed() => {}
            }
            return Ok(());
        }
        shared.gate.thawed().await;
        apply_next(shared, &mut self.db).await
    }
}

/// Whether the state has to be built again, or when the next entry is to be applied.
fn due(shared: &Shared, group: &Group) -> Option<(bool, Instant)> {
    if group.rebuild {
        return Some((true, Instant::now()));
    }
    let (_, received) = group.log.get(group.applied + 1)?;
    let lag = match group.durable.role {
        Role::Primary => Duration::ZERO,
        _ => Duration::from_millis(shared.lag_ms.load(Ordering::Relaxed)),
    };
    Some((false, *received + lag))
}

async fn apply_next(shared: &Shared, db: &mut Connection) -> Result<(), SqlError> {
    let _guard = shared.write_lock.lock().await;
    let entry = {
        let group = shared.group();
        if group.rebuild {
            return Ok(());
        }
        group.log.get(group.applied + 1).map(|(e, _)| e.clone())
    };
    let Some(entry) = entry else {
        return Ok(());
    };
    db.execute_batch("BEGIN IMMEDIATE")?;
    let result = execute(&*db, &entry).and_then(|()| {
        shared.change(|group| {
            // The entry may have been dropped while it was executed.
            if group.rebuild || group.log.term_at(entry.index) != Some(entry.term) {
                db.execute_batch("ROLLBACK")?;
            } else {
                db.execute_batch("COMMIT")?;
                group.applied = entry.index;
            }
            Ok(())
        })
    });
    if result.is_err() && !db.is_autocommit() {
        db.execute_batch("ROLLBACK")?;
    }
    result
}

fn execute(db: &Connection, entry: &Entry) -> Result<(), SqlError> {
    for logged in &entry.statements {
        let mut statement = db.prepare_cached(&logged.sql)?;
        bind(&mut statement, &logged.params)?;
        let mut rows = statement.raw_query();
        while rows.next()?.is_some() {}
    }
    set_position(
        db,
        LogPosition {
            term: entry.term,
            index: entry.index,
        },
    )
}

/// Builds the applied state from the log in a new file. Reads wait meanwhile.
fn rebuild(shared: &Shared) -> Result<Connection, SqlError> {
    shared.change(|group| {
        let generation = shared.generation.load(Ordering::Acquire) + 1;
        for name in std::fs::read_dir(&shared.dir)? {
            let path = name?.path();
            if path.to_string_lossy().contains("applied-") {
                std::fs::remove_file(path)?;
            }
        }
        let db = connect(&shared.dir, generation)?;
        db.execute_batch(
            "CREATE TABLE platform_applied (term INTEGER, idx INTEGER);
             INSERT INTO platform_applied VALUES (0, 0);
             BEGIN;",
        )?;
        let last = group.log.last();
        for entry in group.log.after(0, usize::MAX) {
            execute(&db, entry)?;
        }
        db.execute_batch("COMMIT")?;
        group.applied = last.index;
        group.rebuild = false;
        shared.generation.store(generation, Ordering::Release);
        Ok(db)
    })
}

//! Log of committed write transactions.

use std::fs::File;
use std::fs::OpenOptions;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;
use std::time::Instant;

use magnoliahatch_core::ids::LogIndex;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::position::LogPosition;
use serde::Deserialize;
use serde::Serialize;

use crate::member::datum::Datum;

/// A statement as SQLite executes it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoggedStatement {
    pub(crate) sql: String,
    pub(crate) params: Vec<Datum>,
}

/// A committed transaction; the first entry of a term has no statements.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) struct Entry {
    pub(crate) term: Term,
    pub(crate) index: LogIndex,
    pub(crate) statements: Vec<LoggedStatement>,
}

/// The log in memory and in a file. The file is not synchronised to disk, since the stand-in
/// has to survive the end of its process, not of its host.
#[derive(Debug)]
pub(crate) struct Log {
    path: PathBuf,
    file: File,
    entries: Vec<(Entry, Instant)>,
}

impl Log {
    /// Reads the log; an incomplete last line, left by a killed process, is dropped.
    pub(crate) fn open(path: &Path) -> std::io::Result<Self> {
        let mut entries = Vec::new();
        let mut complete = true;
        if path.exists() {
            for line in BufReader::new(File::open(path)?).lines() {
                match serde_json::from_str(&line?) {
                    Ok(entry) => entries.push((entry, Instant::now())),
                    Err(_) => complete = false,
                }
            }
        }
        let file = OpenOptions::new().create(true).append(true).open(path)?;
        let mut log = Self {
            path: path.to_owned(),
            file,
            entries,
        };
        if !complete {
            log.rewrite()?;
        }
        Ok(log)
    }

    pub(crate) fn last(&self) -> LogPosition {
        self.entries
            .last()
            .map_or_else(LogPosition::default, |(entry, _)| LogPosition {
                term: entry.term,
                index: entry.index,
            })
    }

    /// Term of the entry at an index; index 0 precedes the first entry and has term 0.
    pub(crate) fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == 0 {
            return Some(0);
        }
        self.get(index).map(|(entry, _)| entry.term)
    }

    /// Entry at an index and when it was received.
    pub(crate) fn get(&self, index: LogIndex) -> Option<&(Entry, Instant)> {
        self.entries
            .get(usize::try_from(index).ok()?.checked_sub(1)?)
    }

    /// Entries after an index, at most `limit`.
    pub(crate) fn after(&self, index: LogIndex, limit: usize) -> impl Iterator<Item = &Entry> {
        self.entries
            .iter()
            .skip(index as usize)
            .take(limit)
            .map(|(entry, _)| entry)
    }

    /// Highest index up to `limit` whose entry is of `term` or an older one.
    pub(crate) fn last_of(&self, term: Term, limit: LogIndex) -> LogIndex {
        self.entries
            .iter()
            .take(limit as usize)
            .rev()
            .find(|(entry, _)| entry.term <= term)
            .map_or(0, |(entry, _)| entry.index)
    }

    pub(crate) fn append(&mut self, entry: Entry) -> std::io::Result<()> {
        let mut line = serde_json::to_vec(&entry)?;
        line.push(b'\n');
        self.file.write_all(&line)?;
        self.entries.push((entry, Instant::now()));
        Ok(())
    }

    /// Drops all entries after an index.
    pub(crate) fn truncate(&mut self, index: LogIndex) -> std::io::Result<()> {
        self.entries.truncate(index as usize);
        self.rewrite()
    }

    fn rewrite(&mut self) -> std::io::Result<()> {
        let fresh = self.path.with_extension("new");
        let mut file = File::create(&fresh)?;
        for (entry, _) in &self.entries {
            serde_json::to_writer(&mut file, entry)?;
            file.write_all(b"\n")?;
        }
        std::fs::rename(&fresh, &self.path)?;
        self.file = OpenOptions::new().append(true).open(&self.path)?;
        Ok(())
    }
}

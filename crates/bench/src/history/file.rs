//! History files: one JSON record per line.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::BufWriter;
use std::io::Write;
use std::path::Path;
use std::path::PathBuf;

use crate::history::error::HistoryError;
use crate::history::record::Record;

/// Buffered writer of a history file.
#[derive(Debug)]
pub struct HistoryWriter {
    path: PathBuf,
    out: BufWriter<File>,
}

impl HistoryWriter {
    /// Creates the file, or truncates an existing one.
    pub fn create(path: &Path) -> Result<Self, HistoryError> {
        let file = File::create(path).map_err(|source| file_error(path, source))?;
        Ok(Self {
            path: path.to_owned(),
            out: BufWriter::new(file),
        })
    }

    /// Appends one record.
    pub fn append(&mut self, record: &Record) -> Result<(), HistoryError> {
        serde_json::to_writer(&mut self.out, record)?;
        self.out
            .write_all(b"\n")
            .map_err(|source| file_error(&self.path, source))
    }

    /// Flushes the buffer.
    pub fn finish(mut self) -> Result<(), HistoryError> {
        self.out
            .flush()
            .map_err(|source| file_error(&self.path, source))
    }
}

/// Reads all records of a history file.
pub fn read(path: &Path) -> Result<Vec<Record>, HistoryError> {
    let file = File::open(path).map_err(|source| file_error(path, source))?;
    let lines = BufReader::new(file).lines().enumerate();
    lines
        .map(|(index, line)| {
            let line = line.map_err(|source| file_error(path, source))?;
            serde_json::from_str(&line).map_err(|source| HistoryError::Record {
                path: path.to_owned(),
                line: index + 1,
                source,
            })
        })
        .collect()
}

fn file_error(path: &Path, source: std::io::Error) -> HistoryError {
    HistoryError::File {
        path: path.to_owned(),
        source,
    }
}

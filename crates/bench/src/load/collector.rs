//! Collects the results of all sessions.

use std::path::PathBuf;

use tokio::sync::mpsc;

use crate::history::error::HistoryError;
use crate::history::file::HistoryWriter;
use crate::history::record::Record;
use crate::load::sample::Sample;

/// History records and samples of a run.
#[derive(Debug, Default)]
pub struct Results {
    pub records: Vec<Record>,
    pub samples: Vec<Sample>,
}

/// Collects results until all senders are dropped.
pub async fn collect(mut results: mpsc::UnboundedReceiver<(Option<Record>, Sample)>) -> Results {
    let mut all = Results::default();
    while let Some((record, sample)) = results.recv().await {
        all.records.extend(record);
        all.samples.push(sample);
    }
    all
}

/// Writes the records to a history file on a blocking thread and returns them.
pub async fn write_history(
    path: PathBuf,
    records: Vec<Record>,
) -> Result<Vec<Record>, HistoryError> {
    let write = move || {
        let mut writer = HistoryWriter::create(&path)?;
        for record in &records {
            writer.append(record)?;
        }
        writer.finish()?;
        Ok(records)
    };
    match tokio::task::spawn_blocking(write).await {
        Ok(result) => result,
        Err(panic) => std::panic::resume_unwind(panic.into_panic()),
    }
}

//! Output of a command.

use std::io::Write;

use magnoliahatch_client::admin::Accepted;
use serde::Serialize;
use serde_json::Value;

use crate::error::CtlError;
use crate::output::Output;

/// Output of a command, both as table rows and as JSON.
#[derive(Debug)]
pub struct Report {
    /// Column names.
    header: Vec<&'static str>,
    rows: Vec<Vec<String>>,
    json: Value,
    /// Version of the accepted change, for `--wait`; `None` if nothing was changed.
    pub accepted: Option<u64>,
}

impl Report {
    /// Creates a report from table rows and the content to print as JSON.
    pub fn new(
        header: &[&'static str],
        rows: Vec<Vec<String>>,
        json_content: &impl Serialize,
    ) -> Result<Self, CtlError> {
        Ok(Self {
            header: header.to_vec(),
            rows,
            json: serde_json::to_value(json_content)?,
            accepted: None,
        })
    }

    /// Creates the report of an accepted change.
    pub fn accepted(accepted: &Accepted) -> Result<Self, CtlError> {
        let version = accepted.version;
        let rows = vec![vec![version.to_string()]];
        let mut report = Self::new(&["ACCEPTED VERSION"], rows, accepted)?;
        report.accepted = Some(version);
        Ok(report)
    }

    /// Writes the report in the given format.
    pub fn print(&self, output: Output, out: &mut impl Write) -> Result<(), CtlError> {
        match output {
            Output::Json => {
                serde_json::to_writer_pretty(&mut *out, &self.json)?;
                writeln!(out)?;
            }
            Output::Table => self.print_table(out)?,
        }
        Ok(())
    }

    fn print_table(&self, out: &mut impl Write) -> std::io::Result<()> {
        let header: Vec<String> = self.header.iter().map(|&name| name.to_owned()).collect();
        let lines = || std::iter::once(&header).chain(&self.rows);
        let widths: Vec<usize> = (0..header.len())
            .map(|column| lines().map(|line| line[column].chars().count()).max())
            .map(Option::unwrap_or_default)
            .collect();
        for line in lines() {
            let mut text = String::new();
            for (cell, width) in line.iter().zip(&widths) {
                text.push_str(&format!("{cell:<width$}  "));
            }
            writeln!(out, "{}", text.trim_end())?;
        }
        Ok(())
    }
}

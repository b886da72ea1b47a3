//! Collects the log lines of one request from the logs of several hosts.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use serde_json::Map;
use serde_json::Value;

use crate::error::CtlError;
use crate::report::Report;

/// Fields that are left out of the details, because they have a column of their own or are not
/// specific to the request.
const EXCLUDED_FROM_DETAILS: [&str; 5] = ["timestamp", "level", "message", "event", "id"];

/// Shows the lines in order of their timestamps. Lines that are not valid JSON are skipped.
pub(crate) fn run(id: &str, files: &[PathBuf]) -> Result<Report, CtlError> {
    let mut lines = Vec::new();
    for path in files {
        collect(id, path, &mut lines)?;
    }
    lines.sort_by_key(|line| field_text(line, "timestamp"));
    let rows = lines.iter().map(row).collect();
    let header = ["TIME", "FILE", "EVENT", "MESSAGE", "DETAILS"];
    Report::new(&header, rows, &lines)
}

fn collect(id: &str, path: &Path, lines: &mut Vec<Map<String, Value>>) -> Result<(), CtlError> {
    let read_error = |source| CtlError::Log {
        path: path.to_owned(),
        source,
    };
    let file = File::open(path).map_err(read_error)?;
    for line in BufReader::new(file).lines() {
        let line = line.map_err(read_error)?;
        // Most lines belong to other requests; this check avoids parsing them.
        if !line.contains(id) {
            continue;
        }
        let Ok(Value::Object(mut fields)) = serde_json::from_str(&line) else {
            continue;
        };
        if fields.get("id").and_then(Value::as_str) == Some(id) {
            let name = path.display().to_string();
            fields.insert("file".to_owned(), Value::String(name));
            lines.push(fields);
        }
    }
    Ok(())
}

fn row(fields: &Map<String, Value>) -> Vec<String> {
    let details: Vec<String> = fields
        .iter()
        .filter(|(name, _)| !EXCLUDED_FROM_DETAILS.contains(&name.as_str()) && *name != "file")
        .map(|(name, value)| format!("{name}={}", value_text(value)))
        .collect();
    let column = |name| field_text(fields, name);
    vec![
        column("timestamp"),
        column("file"),
        column("event"),
        column("message"),
        details.join(" "),
    ]
}

fn field_text(fields: &Map<String, Value>, name: &str) -> String {
    fields.get(name).map(value_text).unwrap_or_default()
}

fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

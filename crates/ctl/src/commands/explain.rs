//! Gathers the log lines of one request from the logs of several hosts.

use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::path::PathBuf;

use serde_json::Map;
use serde_json::Value;

use crate::error::CtlError;
use crate::report::Report;

/// Fields that have their own column, or say nothing about the request.
const OWN_COLUMNS: [&str; 5] = ["timestamp", "level", "message", "event", "id"];

/// Shows the lines in the order of their time stamps. Lines that are not JSON are passed over.
pub(crate) fn run(id: &str, files: &[PathBuf]) -> Result<Report, CtlError> {
    let mut lines = Vec::new();
    for path in files {
        collect(id, path, &mut lines)?;
    }
    lines.sort_by_key(|line| text(line, "timestamp"));
    let rows = lines.iter().map(row).collect();
    let header = ["TIME", "FILE", "EVENT", "MESSAGE", "DETAILS"];
    Report::new(&header, rows, &lines)
}

fn collect(id: &str, path: &Path, lines: &mut Vec<Map<String, Value>>) -> Result<(), CtlError> {
    let unreadable = |source| CtlError::Log {
        path: path.to_owned(),
        source,
    };
    let file = File::open(path).map_err(unreadable)?;
    for line in BufReader::new(file).lines() {
        let line = line.map_err(unreadable)?;
        // Most lines belong to other requests and need not be parsed.
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
        .filter(|(name, _)| !OWN_COLUMNS.contains(&name.as_str()) && *name != "file")
        .map(|(name, value)| format!("{name}={}", plain(value)))
        .collect();
    let column = |name| text(fields, name);
    vec![
        column("timestamp"),
        column("file"),
        column("event"),
        column("message"),
        details.join(" "),
    ]
}

fn text(fields: &Map<String, Value>, name: &str) -> String {
    fields.get(name).map(plain).unwrap_or_default()
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

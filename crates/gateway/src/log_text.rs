//! Texts of others in log lines.

use std::fmt;

/// Longest part of a text that a log line shows, in bytes. Ids of requests have some tens.
const MAX_BYTES: usize = 128;

/// Shows a text that a client, member or operator chose: its start, and its length if that is not all.
#[derive(Debug, Clone, Copy)]
pub struct LogText<'a>(pub &'a [u8]);

impl fmt::Display for LogText<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(text) = self;
        let shown = &text[..text.len().min(MAX_BYTES)];
        formatter.write_str(&String::from_utf8_lossy(shown))?;
        if shown.len() < text.len() {
            write!(formatter, "... ({} bytes)", text.len())?;
        }
        Ok(())
    }
}

//! Answer to a successful statement.

use bytes::Buf;
use bytes::BytesMut;

/// Answer to a successful simple query.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Columns as text; null is empty.
    pub rows: Vec<Vec<String>>,
    /// Tag of the last command.
    pub tag: String,
}

impl Answer {
    /// First column of each row as a number; rows without one are left out.
    pub fn numbers(&self) -> Vec<u64> {
        let columns = self.rows.iter().filter_map(|row| row.first());
        columns.filter_map(|text| text.parse().ok()).collect()
    }
}

/// Splits the body of a DataRow message.
pub(super) fn columns(mut data: BytesMut) -> Vec<String> {
    let mut columns = Vec::new();
    while data.remaining() >= 4 {
        let length = usize::try_from(data.get_i32())
            .unwrap_or(0)
            .min(data.remaining());
        let text = data.split_to(length);
        columns.push(String::from_utf8_lossy(&text).into_owned());
    }
    columns
}

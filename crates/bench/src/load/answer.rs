//! Result of a successful statement.

use bytes::Buf;
use bytes::BytesMut;

/// Rows and command tag of a successful simple query.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Answer {
    /// Columns as text; NULL is an empty string.
    pub rows: Vec<Vec<String>>,
    /// Command tag of the last command.
    pub tag: String,
}

impl Answer {
    /// Returns the first column of each row as a number; rows where it is not a number are omitted.
    pub fn numbers(&self) -> Vec<u64> {
        let columns = self.rows.iter().filter_map(|row| row.first());
        columns.filter_map(|text| text.parse().ok()).collect()
    }
}

/// Decodes the column values of a DataRow message; a NULL (length -1) becomes an empty string.
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

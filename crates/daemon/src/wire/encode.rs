//! Encodes the messages that the proxy itself sends to clients and members.

use magnoliahatch_core::outcome::Outcome;
use magnoliahatch_core::session::TxStatus;
use pgwire::messages::response::CommandComplete;
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::ParameterStatus;

use crate::wire::frame::Frame;
use crate::wire::tag;

/// Encodes ReadyForQuery.
pub fn ready_for_query(status: TxStatus) -> Frame {
    Frame::new(tag::READY, &[status.as_byte()])
}

/// Encodes CommandComplete.
pub fn command_complete(command: &str) -> Frame {
    Frame::encode(&CommandComplete::new(command.to_owned()))
}

/// Encodes ParameterStatus.
pub fn parameter_status(name: &str, value: &str) -> Frame {
    Frame::encode(&ParameterStatus::new(name.to_owned(), value.to_owned()))
}

/// Encodes Query.
pub fn query(sql: &str) -> Frame {
    Frame::encode(&Query::new(sql.to_owned()))
}

/// Encodes Parse for a statement without parameters.
pub fn parse(name: &str, sql: &str) -> Frame {
    let mut body = name.as_bytes().to_vec();
    body.push(0);
    body.extend_from_slice(sql.as_bytes());
    // Terminator, then zero parameter types.
    body.extend_from_slice(&[0, 0, 0]);
    Frame::new(tag::PARSE, &body)
}

/// Encodes Bind, Execute and Sync for a statement without parameters. Columns return as text.
pub fn bind_execute_sync(name: &str) -> [Frame; 3] {
    // Unnamed portal, then the name of the statement.
    let mut bind = vec![0];
    bind.extend_from_slice(name.as_bytes());
    // Terminator, then zero parameter formats, parameters and result formats.
    bind.extend_from_slice(&[0; 7]);
    [
        Frame::new(tag::BIND, &bind),
        // Unnamed portal, no row limit.
        Frame::new(tag::EXECUTE, &[0; 5]),
        Frame::new(tag::SYNC, &[]),
    ]
}

/// Encodes an ErrorResponse whose DETAIL states the outcome of the request.
pub fn error_response(
    severity: &str,
    code: &str,
    message: &str,
    outcome: Outcome,
    hint: &str,
) -> Frame {
    let mut fields = vec![
        (b'S', severity.to_owned()),
        (b'V', severity.to_owned()),
        (b'C', code.to_owned()),
        (b'M', message.replace('\0', "")),
        (b'D', format!("outcome={outcome}")),
    ];
    if !hint.is_empty() {
        fields.push((b'H', hint.replace('\0', "")));
    }
    Frame::encode(&ErrorResponse::new(fields))
}

/// Encodes RowDescription and DataRow of a single text value.
pub fn single_row(column: &str, value: &str) -> [Frame; 2] {
    let mut description = vec![0, 1];
    description.extend_from_slice(column.as_bytes());
    // Terminator, no table, no column number, type text (25) of variable size, text format.
    description.extend_from_slice(&[0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 25]);
    description.extend_from_slice(&[0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0]);
    let mut row = vec![0, 1];
    let length = u32::try_from(value.len()).unwrap_or(0);
    row.extend_from_slice(&length.to_be_bytes());
    row.extend_from_slice(value.as_bytes());
    [
        Frame::new(tag::ROW_DESCRIPTION, &description),
        Frame::new(tag::DATA_ROW, &row),
    ]
}

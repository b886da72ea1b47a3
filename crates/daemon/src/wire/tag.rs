//! Type bytes of the messages that the proxy handles.

pub const QUERY: u8 = b'Q';
pub const PARSE: u8 = b'P';
pub const BIND: u8 = b'B';
pub const DESCRIBE: u8 = b'D';
pub const EXECUTE: u8 = b'E';
pub const CLOSE: u8 = b'C';
pub const FLUSH: u8 = b'H';
pub const SYNC: u8 = b'S';
pub const TERMINATE: u8 = b'X';
pub const PASSWORD: u8 = b'p';
pub const FUNCTION_CALL: u8 = b'F';
pub const COPY_DATA: u8 = b'd';
pub const COPY_DONE: u8 = b'c';
pub const COPY_FAIL: u8 = b'f';

pub const AUTHENTICATION: u8 = b'R';
pub const BACKEND_KEY: u8 = b'K';
pub const PARAMETER_STATUS: u8 = b'S';
pub const READY: u8 = b'Z';
pub const ERROR: u8 = b'E';
pub const NOTICE: u8 = b'N';
pub const NOTIFICATION: u8 = b'A';
pub const DATA_ROW: u8 = b'D';
pub const COMMAND_COMPLETE: u8 = b'C';
pub const EMPTY_QUERY: u8 = b'I';
pub const PORTAL_SUSPENDED: u8 = b's';
pub const PARSE_COMPLETE: u8 = b'1';
pub const BIND_COMPLETE: u8 = b'2';
pub const CLOSE_COMPLETE: u8 = b'3';
pub const ROW_DESCRIPTION: u8 = b'T';
pub const NO_DATA: u8 = b'n';
pub const PARAMETER_DESCRIPTION: u8 = b't';
pub const COPY_IN: u8 = b'G';
pub const COPY_OUT: u8 = b'H';
pub const COPY_BOTH: u8 = b'W';

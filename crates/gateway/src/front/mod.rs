//! Sessions of clients.

pub mod client_connection;
pub mod credentials;
pub mod dispatch;
pub mod listener;
pub mod member_loads;
pub mod messages;
pub mod remote;
pub mod session;
pub mod session_end;
pub mod session_start;
pub mod session_state;
pub mod transaction;

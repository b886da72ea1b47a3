//! Sessions of clients.

pub mod credentials;
pub mod dispatch;
pub mod listener;
pub mod member_loads;
pub mod messages;
pub mod remote;
pub mod session;
pub mod transaction;

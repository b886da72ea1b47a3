//! Admission of statements and use of endpoint connections within the contracts.

pub mod connection_permit;
mod driver;
mod handle;
pub mod limit_error;
pub mod link;
mod member_queue;
mod rate_queue;
mod seat_keeper;
pub mod settings;
mod shared;
mod table;

pub use connection_permit::ConnectionPermit;
pub use handle::Limits;
pub use limit_error::LimitError;

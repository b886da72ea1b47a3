//! Objects of the platform's store, one module per type.

pub mod access;
pub mod change;
pub mod change_list;
pub mod conflict;
pub mod contract;
pub mod database;
pub mod host_record;
pub mod key_hash;
pub mod kind;
pub mod lenient;
pub mod member;
pub mod object_list;
pub mod placement;
pub mod primary_hint;
pub mod route;
pub mod seat_record;
pub mod seat_state;
pub mod seat_table;
pub mod stored_object;
pub mod token_secret;
pub mod write_request;

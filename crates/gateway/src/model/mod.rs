//! Data types shared by the engine and its protocol and platform adapters.

pub mod client_refusal;
pub mod command;
pub mod configuration;
pub mod duty_record;
pub mod error_code;
pub mod host_entry;
pub mod job;
pub mod kind;
pub mod known_member;
pub mod member_entry;
pub mod member_load;
pub mod member_status;
pub mod object;
pub mod outcome;
pub mod primary_record;
pub mod region_limit;
pub mod reply;
pub mod request;
pub mod route;
pub mod statement;
pub mod statement_kind;
pub mod token_request;
pub mod transaction_state;
pub mod usage_batch;
pub mod usage_message;
pub mod usage_report;

//! Requests for tokens of one rate.

use crate::model::configuration::Rate;
use crate::model::token_request::TokenRequest;

/// Requests of one host for tokens of an organisation's rate.
#[derive(Debug, Clone, Copy)]
pub struct TokenCall<'a> {
    pub organisation: &'a str,
    pub rate: Rate,
    pub requests: &'a [TokenRequest],
    /// Whether tokens are granted by priority.
    pub ranked: bool,
}

//! Session tokens: proof of the position that a session has seen.

use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use base64::prelude::BASE64_URL_SAFE_NO_PAD;
use hmac::Hmac;
use hmac::Mac;
use sha2::Sha256;
use thiserror::Error;

use crate::ids::DatabaseId;
use crate::ids::OrganisationId;
use crate::position::LogPosition;

/// Separates the fields of a token's payload; names do not contain it.
const SEPARATOR: char = '\n';

/// What a session has seen of a database. Signed, so that a caller cannot claim a position that
/// no daemon gave out, nor use another organisation's token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    pub database: DatabaseId,
    pub organisation: OrganisationId,
    pub position: LogPosition,
}

/// Why a token was not accepted.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum TokenError {
    #[error("the token is not complete; present it as the daemon sent it")]
    Format,
    #[error("the token was not signed with this system's key")]
    Signature,
}

/// Key of the MAC from its base64 text.
pub fn decode_key(text: &str) -> Result<Vec<u8>, TokenError> {
    BASE64_STANDARD.decode(text).map_err(|_| TokenError::Format)
}

impl Token {
    /// Text form: base64 of the payload, a full stop, base64 of its HMAC-SHA256.
    pub fn encode(&self, key: &[u8]) -> String {
        let payload = format!(
            "{}{SEPARATOR}{}{SEPARATOR}{}",
            self.database, self.organisation, self.position
        );
        let tag = mac(key, payload.as_bytes()).finalize().into_bytes();
        format!(
            "{}.{}",
            BASE64_URL_SAFE_NO_PAD.encode(payload),
            BASE64_URL_SAFE_NO_PAD.encode(tag)
        )
    }

    /// Verifies and reads a token.
    pub fn decode(text: &str, key: &[u8]) -> Result<Self, TokenError> {
        let (payload, tag) = text.split_once('.').ok_or(TokenError::Format)?;
        let payload = decode_part(payload)?;
        mac(key, &payload)
            .verify_slice(&decode_part(tag)?)
            .map_err(|_| TokenError::Signature)?;
        let payload = String::from_utf8(payload).map_err(|_| TokenError::Format)?;
        let mut fields = payload.split(SEPARATOR);
        let mut next = || fields.next().ok_or(TokenError::Format);
        let token = Self {
            database: next()?.to_owned(),
            organisation: next()?.to_owned(),
            position: next()?.parse().map_err(|_| TokenError::Format)?,
        };
        match fields.next() {
            None => Ok(token),
            Some(_) => Err(TokenError::Format),
        }
    }
}

fn decode_part(text: &str) -> Result<Vec<u8>, TokenError> {
    BASE64_URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|_| TokenError::Format)
}

fn mac(key: &[u8], payload: &[u8]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(key)
        .expect("HMAC accepts keys of any length")
        .chain_update(payload)
}

//! Session tokens, which prove the log position that a session has seen.

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

/// Separator of the payload's fields. Names cannot contain it.
const SEPARATOR: char = '\n';

/// Log position of a database that a session has seen. Tokens are signed, so that a client can
/// claim neither a position that no daemon issued nor another organisation's token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Token {
    pub database: DatabaseId,
    pub organisation: OrganisationId,
    pub position: LogPosition,
}

/// Reason for which a token is rejected.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum TokenError {
    #[error("the token is not complete; present it as the daemon sent it")]
    Malformed,
    #[error("the token was not signed with this system's key")]
    InvalidSignature,
}

/// Decodes a signing key from base64.
pub fn decode_key(text: &str) -> Result<Vec<u8>, TokenError> {
    BASE64_STANDARD
        .decode(text)
        .map_err(|_| TokenError::Malformed)
}

impl Token {
    /// Signs the token. The text is the payload and its HMAC-SHA256, both in URL-safe base64 and
    /// separated by a full stop.
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

    /// Verifies a token's signature and parses its payload.
    pub fn decode(text: &str, key: &[u8]) -> Result<Self, TokenError> {
        let (payload, tag) = text.split_once('.').ok_or(TokenError::Malformed)?;
        let payload = decode_base64(payload)?;
        mac(key, &payload)
            .verify_slice(&decode_base64(tag)?)
            .map_err(|_| TokenError::InvalidSignature)?;
        let payload = String::from_utf8(payload).map_err(|_| TokenError::Malformed)?;
        let mut fields = payload.split(SEPARATOR);
        let mut next = || fields.next().ok_or(TokenError::Malformed);
        let token = Self {
            database: next()?.to_owned(),
            organisation: next()?.to_owned(),
            position: next()?.parse().map_err(|_| TokenError::Malformed)?,
        };
        match fields.next() {
            None => Ok(token),
            Some(_) => Err(TokenError::Malformed),
        }
    }
}

fn decode_base64(text: &str) -> Result<Vec<u8>, TokenError> {
    BASE64_URL_SAFE_NO_PAD
        .decode(text)
        .map_err(|_| TokenError::Malformed)
}

fn mac(key: &[u8], payload: &[u8]) -> Hmac<Sha256> {
    Hmac::<Sha256>::new_from_slice(key)
        .expect("HMAC accepts keys of any length")
        .chain_update(payload)
}

//! A prepared statement of a session.

use sha2::Digest;
use sha2::Sha256;

use crate::class::Class;

/// Statement text, parameter types and what the text contains.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prepared {
    pub sql: String,
    /// Parameter types as the Parse message carries them.
    pub types: Vec<u8>,
    pub classes: Vec<Class>,
    /// Name under which connections keep the statement. Equal statements of one organisation
    /// share it, so a connection parses them once for all sessions.
    pub shared_name: String,
}

impl Prepared {
    pub fn new(organisation: &str, sql: String, types: Vec<u8>, classes: Vec<Class>) -> Self {
        let digest = Sha256::new()
            .chain_update(organisation.as_bytes())
            .chain_update([0])
            .chain_update(sql.as_bytes())
            .chain_update([0])
            .chain_update(&types)
            .finalize();
        let hex: String = digest[..16].iter().map(|b| format!("{b:02x}")).collect();
        Self {
            sql,
            types,
            classes,
            shared_name: format!("mh_{hex}"),
        }
    }
}

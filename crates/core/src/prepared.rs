//! Prepared statements of a session.

use sha2::Digest;
use sha2::Sha256;

use crate::statement_class::StatementClass;

/// Prepared statement: its text, its parameter types and the classes of its statements.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedStatement {
    pub sql: String,
    /// Parameter types as encoded in the Parse message.
    pub types: Vec<u8>,
    pub classes: Vec<StatementClass>,
    /// Name of the statement on the connections to endpoints. Equal statements of an organisation
    /// share the name, so that a connection parses them only once for all sessions.
    pub shared_name: String,
}

impl PreparedStatement {
    pub fn new(
        organisation: &str,
        sql: String,
        types: Vec<u8>,
        classes: Vec<StatementClass>,
    ) -> Self {
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

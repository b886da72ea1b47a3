//! Settings of the command line.

use serde::Deserialize;

/// Settings of the command line. Options and environment variables take precedence.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CtlSettings {
    /// Administration addresses of daemons, tried in this order.
    pub admin: Vec<String>,
}

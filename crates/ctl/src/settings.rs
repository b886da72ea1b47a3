//! Settings of the command line.

use serde::Deserialize;

/// Settings of the command line; options and the environment override them.
#[derive(Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CtlSettings {
    /// Administration addresses of daemons, tried in this order.
    pub admin: Vec<String>,
}

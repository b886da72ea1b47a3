//! Kinds of things that operators take out of service.

use std::fmt;

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// What can be taken out of service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    Host,
    Endpoint,
    DataCentre,
}

impl Subject {
    /// All subjects, in display order.
    pub const ALL: [Self; 3] = [Self::Host, Self::Endpoint, Self::DataCentre];

    /// Name used in URL paths and in the names of placement objects.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Host => "host",
            Self::Endpoint => "endpoint",
            Self::DataCentre => "data-centre",
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

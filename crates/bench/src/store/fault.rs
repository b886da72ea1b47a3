//! Faults that the store stand-in can simulate.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Current fault of object and watch calls. It does not affect `/fault` and `/counts`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "mode", rename_all = "kebab-case", deny_unknown_fields)]
pub enum StoreFault {
    #[default]
    None,
    /// All calls fail without effect.
    Down {
        #[serde(default)]
        answer: OutageAnswer,
    },
    /// Each call is processed after a delay.
    Slow { delay_ms: u64 },
    /// Changes take effect, but the caller gets no response while the fault lasts.
    LostAnswer,
}

/// How calls fail while the store is down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum OutageAnswer {
    /// Immediate response with status 503.
    #[default]
    Refuse,
    /// No response until the fault changes, then status 503.
    Silent,
}

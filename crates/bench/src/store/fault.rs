//! Faults that the stand-in can simulate.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

/// Fault in force for object and watch calls; `/fault` and `/counts` always answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(tag = "mode", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Fault {
    #[default]
    None,
    /// No call takes effect.
    Down {
        #[serde(default)]
        answer: Answer,
    },
    /// Each call starts after a delay.
    Slow { delay_ms: u64 },
    /// Changes take effect, but their answers do not arrive.
    LostAnswer,
}

/// How calls fail while the store is down.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum Answer {
    /// Status 503 at once.
    #[default]
    Refuse,
    /// No answer until the fault changes.
    Silent,
}

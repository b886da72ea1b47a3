//! What a link does with traffic.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::fault::gate::Gate;

/// What a link does with traffic. `forward` is from the client to the target.
///
/// A connection that lost bytes to a cut is reset when the cut ends, because its stream has a
/// gap. Nothing is lost to a freeze: held bytes are delivered when it ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LinkMode {
    #[default]
    Pass,
    /// Discards both directions; new connections get no answer.
    Cut,
    /// Discards what the client sends; new connections get no answer.
    CutForward,
    /// Discards what the target sends; new connections get no answer.
    CutBack,
    /// Holds both directions and new connections.
    Freeze,
}

impl LinkMode {
    /// Treatment of bytes in one direction.
    pub fn gate(self, forward: bool) -> Gate {
        match self {
            Self::Pass => Gate::Pass,
            Self::Cut => Gate::Discard,
            Self::CutForward if forward => Gate::Discard,
            Self::CutBack if !forward => Gate::Discard,
            Self::CutForward | Self::CutBack => Gate::Pass,
            Self::Freeze => Gate::Hold,
        }
    }
}

//! Fault modes of a link.

use schemars::JsonSchema;
use serde::Deserialize;
use serde::Serialize;

use crate::fault::traffic_action::TrafficAction;

/// How a link handles traffic. Forward is the direction from the client to the target.
///
/// A TCP connection that lost bytes during a cut is reset when the cut ends, because its stream
/// has a gap. A freeze loses no TCP data: held bytes are delivered when it ends.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum LinkMode {
    #[default]
    Pass,
    /// Discards data in both directions. New connections get no response.
    Cut,
    /// Discards data from the client. New connections get no response.
    CutForward,
    /// Discards data from the target. New connections get no response.
    CutBack,
    /// Holds data in both directions and new connections.
    Freeze,
}

impl LinkMode {
    /// Returns what happens to traffic in one direction.
    pub fn action(self, forward: bool) -> TrafficAction {
        match self {
            Self::Pass => TrafficAction::Pass,
            Self::Cut => TrafficAction::Discard,
            Self::CutForward if forward => TrafficAction::Discard,
            Self::CutBack if !forward => TrafficAction::Discard,
            Self::CutForward | Self::CutBack => TrafficAction::Pass,
            Self::Freeze => TrafficAction::Hold,
        }
    }
}

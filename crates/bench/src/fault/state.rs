//! Current faults of a link.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::fault::gate::Gate;
use crate::fault::mode::LinkMode;

/// Number of a connection (TCP) or flow (UDP) of a link, in order of arrival.
pub type ConnectionNumber = u64;

/// Current faults of a link; connections watch it.
#[derive(Debug, Clone)]
pub struct LinkState {
    pub mode: LinkMode,
    pub delay: Duration,
    /// Delays of known processes, by name.
    pub delays: BTreeMap<String, Duration>,
    /// Known processes whose traffic is cut, by name.
    pub cut_sources: BTreeSet<String>,
    pub target: Option<SocketAddr>,
    /// Connections below this number stay silent for good.
    pub frozen_below: ConnectionNumber,
    /// Connections below this number are reset.
    pub reset_below: ConnectionNumber,
    /// Connections of unknown processes below this number are reset.
    pub unknown_below: ConnectionNumber,
}

impl LinkState {
    /// Delay of one direction of a connection from the process, if it is known.
    pub fn delay_of(&self, source: Option<&str>) -> Duration {
        let own = source.and_then(|name| self.delays.get(name));
        own.copied().unwrap_or(self.delay)
    }

    /// What the link does with traffic of the process, if it is known.
    pub fn mode_of(&self, source: Option<&str>) -> LinkMode {
        let cut = source.is_some_and(|name| self.cut_sources.contains(name));
        if cut { LinkMode::Cut } else { self.mode }
    }

    /// Whether a connection from the process, if it is known, is to be reset.
    pub fn is_reset(&self, number: ConnectionNumber, source: Option<&str>) -> bool {
        number < self.reset_below || (source.is_none() && number < self.unknown_below)
    }

    /// Treatment of one direction of a connection from the process, if it is known.
    pub fn gate(&self, number: ConnectionNumber, source: Option<&str>, forward: bool) -> Gate {
        if number < self.frozen_below {
            Gate::Hold
        } else {
            self.mode_of(source).gate(forward)
        }
    }
}

//! Current faults of a link.

use std::collections::BTreeMap;
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
    pub target: Option<SocketAddr>,
    /// Connections below this number stay silent for good.
    pub frozen_below: ConnectionNumber,
    /// Connections below this number are reset.
    pub reset_below: ConnectionNumber,
}

impl LinkState {
    /// Delay of one direction of a connection from the process, if it is known.
    pub fn delay_of(&self, source: Option<&str>) -> Duration {
        let own = source.and_then(|name| self.delays.get(name));
        own.copied().unwrap_or(self.delay)
    }

    /// Treatment of one direction of a connection.
    pub fn gate(&self, number: ConnectionNumber, forward: bool) -> Gate {
        if number < self.frozen_below {
            Gate::Hold
        } else {
            self.mode.gate(forward)
        }
    }
}

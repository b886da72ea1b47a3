//! The faults that a link currently injects.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use crate::fault::mode::LinkMode;
use crate::fault::traffic_action::TrafficAction;

/// Sequence number of a connection (TCP) or flow (UDP) of a link, in order of arrival.
pub type ConnectionNumber = u64;

/// The faults that a link currently injects. Each connection subscribes to changes.
#[derive(Debug, Clone)]
pub struct LinkState {
    pub mode: LinkMode,
    pub delay: Duration,
    /// Delays of registered processes, by name.
    pub delays: BTreeMap<String, Duration>,
    /// Names of the registered processes whose traffic is cut.
    pub cut_sources: BTreeSet<String>,
    pub target: Option<SocketAddr>,
    /// Connections below this number never carry traffic again.
    pub frozen_below: ConnectionNumber,
    /// Connections below this number are reset.
    pub reset_below: ConnectionNumber,
    /// Connections of unidentified processes below this number are reset.
    pub reset_unidentified_below: ConnectionNumber,
}

impl LinkState {
    /// Returns the one-way delay for the process's traffic. `source` is `None` if the process is not
    /// identified.
    pub fn delay_for(&self, source: Option<&str>) -> Duration {
        let process_delay = source.and_then(|name| self.delays.get(name));
        process_delay.copied().unwrap_or(self.delay)
    }

    /// Returns the mode that applies to the process's traffic.
    pub fn mode_for(&self, source: Option<&str>) -> LinkMode {
        let cut = source.is_some_and(|name| self.cut_sources.contains(name));
        if cut { LinkMode::Cut } else { self.mode }
    }

    /// Returns whether this connection of the process must be reset.
    pub fn must_reset(&self, number: ConnectionNumber, source: Option<&str>) -> bool {
        number < self.reset_below || (source.is_none() && number < self.reset_unidentified_below)
    }

    /// Returns what happens to traffic in one direction of this connection.
    pub fn action(
        &self,
        number: ConnectionNumber,
        source: Option<&str>,
        forward: bool,
    ) -> TrafficAction {
        if number < self.frozen_below {
            TrafficAction::Hold
        } else {
            self.mode_for(source).action(forward)
        }
    }
}

//! Actions that a link can take on traffic.

/// What happens to the traffic in one direction of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrafficAction {
    Pass,
    Discard,
    /// Keep the data queued until the action changes.
    Hold,
}

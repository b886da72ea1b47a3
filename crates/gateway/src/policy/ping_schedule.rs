//! When a host pings the others. The number of pings that a host sends must not grow with the
//! number of its connections, or the pings of a fleet grow with the square of its size.

use std::time::Duration;

/// Shortest interval between two pings on a connection. With few connections a silent one is
/// noticed within this time plus the timeout of a ping.
const MIN_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two pings of a host, over all its connections.
const PACE: Duration = Duration::from_millis(50);
/// A call without an answer for this long, during which nothing else arrived on its connection,
/// causes a ping at once. With the timeout of a ping, a silent connection that is in use is noticed
/// as early as by regular pings.
const PROBE_DELAY: Duration = Duration::from_millis(400);

/// Interval between the pings on one of `connections` connections.
pub fn interval(connections: usize) -> Duration {
    let count = u32::try_from(connections).unwrap_or(u32::MAX);
    PACE.saturating_mul(count).max(MIN_INTERVAL)
}

/// Whether a ping is needed, given when something last arrived on the connection.
pub fn is_due(last_heard: Duration, connections: usize, now: Duration) -> bool {
    now.saturating_sub(last_heard) >= interval(connections)
}

/// How long after a call its connection is probed, if the peer may hold the call for `hold`.
pub fn probe_delay(hold: Duration) -> Duration {
    PROBE_DELAY + hold
}

//! Monotonic time that also counts suspension of the host.

use std::time::Duration;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time since the host booted. A lease or a freshness stamp must go on ageing while the host is
/// suspended, which `std::time::Instant` does not count.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

//! A monotonic clock that includes the time for which the host is suspended.

use std::time::Duration;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Time since the host booted. Leases and freshness stamps must age while the host is suspended,
/// and `std::time::Instant` does not include that time.
pub fn now() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// The wall clock, as the time since the Unix epoch. It can be wrong and can jump.
pub fn wall() -> Duration {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since_epoch.unwrap_or_default()
}

//! Latency and pending requests of each member as seen from this host.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::MemberId;

use crate::clock;

/// Weight of a new measurement in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.15;
/// Latency assumed until the first measurement.
const INITIAL_LATENCY: Duration = Duration::from_millis(15);
/// How long a path to a member is not used after it failed.
const AVOID_DURATION: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct Load {
    latency: Duration,
    pending: u32,
}

/// Loads of members, and paths to members that failed recently.
#[derive(Debug, Default)]
pub struct MemberLoads {
    loads: RefCell<BTreeMap<MemberId, Load>>,
    avoided: RefCell<BTreeMap<(MemberId, HostId), Duration>>,
}

impl MemberLoads {
    /// Average latency and number of pending requests of a member.
    pub fn get(&self, member: &str) -> (Duration, u32) {
        let loads = self.loads.borrow();
        loads
            .get(member)
            .map_or((INITIAL_LATENCY, 0), |l| (l.latency, l.pending))
    }

    pub fn on_sent(&self, member: &str) {
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(member.to_owned()).or_insert(Load {
            latency: INITIAL_LATENCY,
            pending: 0,
        });
        load.pending += 1;
    }

    pub fn on_answered(&self, member: &str, took: Duration) {
        let mut loads = self.loads.borrow_mut();
        if let Some(load) = loads.get_mut(member) {
            load.pending = load.pending.saturating_sub(1);
            load.latency =
                load.latency.mul_f64(1.0 - LATENCY_WEIGHT) + took.mul_f64(LATENCY_WEIGHT);
        }
    }

    /// Records that a member was not reached through a host, or the host itself was not reached.
    pub fn avoid(&self, member: &str, host: &str) {
        let until = clock::now() + AVOID_DURATION;
        let key = (member.to_owned(), host.to_owned());
        self.avoided.borrow_mut().insert(key, until);
    }

    /// Whether the path to a member through a host failed within `AVOID_DURATION`.
    pub fn is_avoided(&self, member: &str, host: &str) -> bool {
        let mut avoided = self.avoided.borrow_mut();
        let now = clock::now();
        avoided.retain(|_, until| *until > now);
        avoided.contains_key(&(member.to_owned(), host.to_owned()))
    }
}

//! How busy members appear from this host.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::MemberId;

use crate::clock;

/// Weight of a new measurement in the average latency.
const SMOOTHING: f64 = 0.15;
/// Assumed latency until one was measured.
const FIRST_LATENCY: Duration = Duration::from_millis(15);
/// Time for which a way to a member that failed is not used.
const AVOID_TIME: Duration = Duration::from_millis(1500);

#[derive(Debug)]
struct Load {
    latency: Duration,
    pending: u32,
}

/// Latencies and failed ways.
#[derive(Debug, Default)]
pub struct MemberLoads {
    loads: RefCell<BTreeMap<MemberId, Load>>,
    avoided: RefCell<BTreeMap<(MemberId, HostId), Duration>>,
}

impl MemberLoads {
    /// Recent latency and requests under way.
    pub fn get(&self, member: &str) -> (Duration, u32) {
        let loads = self.loads.borrow();
        loads
            .get(member)
            .map_or((FIRST_LATENCY, 0), |l| (l.latency, l.pending))
    }

    pub fn on_sent(&self, member: &str) {
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(member.to_owned()).or_insert(Load {
            latency: FIRST_LATENCY,
            pending: 0,
        });
        load.pending += 1;
    }

    pub fn on_answered(&self, member: &str, took: Duration) {
        let mut loads = self.loads.borrow_mut();
        if let Some(load) = loads.get_mut(member) {
            load.pending = load.pending.saturating_sub(1);
            load.latency = load.latency.mul_f64(1.0 - SMOOTHING) + took.mul_f64(SMOOTHING);
        }
    }

    /// Records that a host does not reach a member, or is not reached itself.
    pub fn avoid(&self, member: &str, host: &str) {
        let until = clock::now() + AVOID_TIME;
        let key = (member.to_owned(), host.to_owned());
        self.avoided.borrow_mut().insert(key, until);
    }

    /// Whether the way over a host to a member failed a moment ago.
    pub fn avoided(&self, member: &str, host: &str) -> bool {
        let mut avoided = self.avoided.borrow_mut();
        let now = clock::now();
        avoided.retain(|_, until| *until > now);
        avoided.contains_key(&(member.to_owned(), host.to_owned()))
    }
}

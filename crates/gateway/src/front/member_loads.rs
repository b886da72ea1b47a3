//! Latency and pending requests of each member as seen from this host, and the loads that homes
//! report.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::MemberId;

use crate::clock;
use crate::model::member_load::MemberLoad;
use crate::policy::replica_choice::HomeReport;

/// Weight of a new measurement in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.15;
/// Latency assumed until the first measurement.
const INITIAL_LATENCY: Duration = Duration::from_millis(15);
/// How long a path to a member is not used after it failed.
const AVOID_DURATION: Duration = Duration::from_millis(1500);
/// Older reports are not used to choose a member. Source: the design page, part D.
const MAX_REPORT_AGE: Duration = Duration::from_secs(1);

/// What is known of one member.
#[derive(Debug, Clone, Copy)]
pub struct KnownLoad {
    pub latency: Duration,
    pub pending: u32,
    /// The last report, when it arrived, and the requests since that are not answered yet.
    report: Option<(Duration, HomeReport)>,
}

impl Default for KnownLoad {
    fn default() -> Self {
        Self {
            latency: INITIAL_LATENCY,
            pending: 0,
            report: None,
        }
    }
}

impl KnownLoad {
    /// The home's report if it is fresh.
    pub fn report(&self, now: Duration) -> Option<HomeReport> {
        let (at, report) = self.report?;
        (now.saturating_sub(at) < MAX_REPORT_AGE).then_some(report)
    }
}

/// Loads of members, and paths to members that failed recently.
#[derive(Debug, Default)]
pub struct MemberLoads {
    loads: RefCell<BTreeMap<MemberId, KnownLoad>>,
    avoided: RefCell<BTreeMap<(MemberId, HostId), Duration>>,
}

impl MemberLoads {
    pub fn get(&self, member: &str) -> KnownLoad {
        let loads = self.loads.borrow();
        loads.get(member).copied().unwrap_or_default()
    }

    pub fn on_sent(&self, member: &str) {
        let mut loads = self.loads.borrow_mut();
        let load = loads.entry(member.to_owned()).or_default();
        load.pending += 1;
        if let Some((_, report)) = &mut load.report {
            report.sent_since += 1;
        }
    }

    pub fn on_answered(&self, member: &str, took: Duration) {
        let mut loads = self.loads.borrow_mut();
        if let Some(load) = loads.get_mut(member) {
            load.pending = load.pending.saturating_sub(1);
            if let Some((_, report)) = &mut load.report {
                report.sent_since = report.sent_since.min(load.pending);
            }
            load.latency =
                load.latency.mul_f64(1.0 - LATENCY_WEIGHT) + took.mul_f64(LATENCY_WEIGHT);
        }
    }

    /// Records what a member's home reported with an outcome. `None` if the member or its home did not
    /// answer; then an earlier report no longer holds.
    pub fn on_report(&self, member: &str, load: Option<MemberLoad>) {
        let mut loads = self.loads.borrow_mut();
        let known = loads.entry(member.to_owned()).or_default();
        known.report = load.map(|load| {
            let sent_since = 0;
            (clock::now(), HomeReport { load, sent_since })
        });
    }

    /// The last report of a member's home and its age.
    pub fn last_report(&self, member: &str) -> Option<(MemberLoad, Duration)> {
        let (at, report) = self.loads.borrow().get(member)?.report?;
        Some((report.load, clock::now().saturating_sub(at)))
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

//! Stand-in of the platform: the record of the duty, and the calls that it executed.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::Revision;
use magnoliahatch_gateway::model::duty_record::DutyRecord;
use magnoliahatch_gateway::model::usage_report::UsageReport;

/// A call that the platform executed.
#[derive(Debug, Clone)]
pub(crate) struct ExecutedCall {
    pub(crate) at: Duration,
    pub(crate) host: String,
    pub(crate) token: Revision,
    pub(crate) report: UsageReport,
}

#[derive(Debug, Default)]
pub(crate) struct Platform {
    pub(crate) revision: Revision,
    pub(crate) stored: Option<(Revision, DutyRecord)>,
    pub(crate) calls: Vec<ExecutedCall>,
}

impl Platform {
    /// Writes the record if its revision is `expected`.
    pub(crate) fn write(
        &mut self,
        expected: Option<Revision>,
        record: DutyRecord,
    ) -> Option<Revision> {
        if self.stored.as_ref().map(|(revision, _)| *revision) != expected {
            return None;
        }
        // Other objects are written as well.
        self.revision += 3;
        self.stored = Some((self.revision, record));
        Some(self.revision)
    }

    /// Checks what the platform demands of all calls together.
    pub(crate) fn check(&self, lease: Duration) -> Result<(), String> {
        let mut windows = BTreeMap::new();
        for call in &self.calls {
            let known = windows.entry(call.report.window).or_insert(&call.report);
            if **known != call.report {
                return Err(format!("{known:?} and {:?}", call.report));
            }
        }
        for pair in self.calls.windows(2) {
            let (first, second) = (&pair[0], &pair[1]);
            let shared = first.token == second.token && first.host != second.host;
            if first.token > second.token || shared {
                return Err(format!("tokens of {first:?} and {second:?}"));
            }
        }
        // The last call of each turn and the first call of the same host's next turn.
        let mut last: BTreeMap<&str, &ExecutedCall> = BTreeMap::new();
        let mut previous: Option<&ExecutedCall> = None;
        for call in &self.calls {
            let returns = previous.is_some_and(|p| p.host != call.host);
            if returns
                && let Some(earlier) = last.get(call.host.as_str())
                && call.at.saturating_sub(earlier.at) <= lease
            {
                return Err(format!("{earlier:?}, {previous:?}, {call:?}"));
            }
            last.insert(&call.host, call);
            previous = Some(call);
        }
        Ok(())
    }
}

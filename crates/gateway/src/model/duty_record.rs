//! The record of the duty of sending usage reports.

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use serde::Deserialize;
use serde::Serialize;

use crate::model::usage_report::UsageReport;
use crate::model::usage_report::WindowIndex;

/// Which host sends usage reports, and the report that it may have sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyRecord {
    pub holder: HostId,
    /// The holder's process.
    pub incarnation: Incarnation,
    /// The holder has stopped and sends nothing any more.
    #[serde(default)]
    pub released: bool,
    /// The last window whose report was accepted, or that was left out.
    pub reported: Option<WindowIndex>,
    /// The report that is being sent. It is written before the first call and never changes.
    pub sending: Option<UsageReport>,
}

impl DutyRecord {
    /// The last window that must not be counted anew.
    pub fn last_window(&self) -> Option<WindowIndex> {
        let sending = self.sending.as_ref().map(|report| report.window);
        sending.or(self.reported)
    }
}

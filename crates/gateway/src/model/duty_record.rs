//! The record of the duty of sending usage reports.

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::model::store_revision;
use crate::model::store_revision::Era;
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
    /// Era of the store in which the record was written.
    #[serde(default)]
    pub era: Era,
}

impl DutyRecord {
    /// Whether the object with this revision came back from a copy and was not written since. Later
    /// records may have been lost, with reports that were sent by them.
    pub fn is_restored(&self, revision: Revision) -> bool {
        self.era != store_revision::era(revision)
    }

    /// The last window that must not be counted anew.
    pub fn last_window(&self) -> Option<WindowIndex> {
        let sending = self.sending.as_ref().map(|report| report.window);
        sending.or(self.reported)
    }
}

//! A host of the model: its copies of the store, and the change of primary that it carries out.

use std::collections::BTreeSet;
use std::time::Duration;

use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_gateway::model::host_knowledge::HostKnowledge;
use magnoliahatch_gateway::model::kind::ObjectKind;
use magnoliahatch_gateway::model::primary_record::PrimaryRecord;
use magnoliahatch_gateway::model::store_revision::Era;
use magnoliahatch_gateway::model::store_revision::in_era;
use magnoliahatch_gateway::policy::copy_times::CopyTimes;
use magnoliahatch_gateway::policy::promotion::Holding;
use magnoliahatch_gateway::policy::promotion::Promotion;
use magnoliahatch_gateway::policy::promotion::Step;
use magnoliahatch_gateway::view::view_state::ViewState;

use crate::world::EFFECT_TIME;
use crate::world::MAX_HOSTS_AGE;
use crate::world::MAX_RECORD_AGE;
use crate::world::SERVICE;
use crate::world::host_name;

/// A change of primary that a host carries out.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) record: PrimaryRecord,
    pub(crate) revision: Revision,
    pub(crate) forgotten: bool,
    /// When the record was last written.
    pub(crate) written: Duration,
    /// When the holder need not wait any longer for what has not answered.
    pub(crate) expiry: Duration,
    /// Time before which nothing is ordered.
    pub(crate) earliest: Duration,
    /// Processes that have not confirmed that they stopped using the primary.
    pub(crate) pending: BTreeSet<(usize, Incarnation)>,
    pub(crate) step: Option<(Promotion, Step)>,
}

#[derive(Debug, Clone)]
pub(crate) struct Host {
    pub(crate) index: usize,
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Duration,
    pub(crate) view: ViewState,
    /// Revision of the last record that it was asked to stop using.
    pub(crate) blocked: Revision,
    pub(crate) task: Option<Task>,
    /// Revision of the record with a change under way, and since when it was seen.
    pub(crate) seen_change: Option<(Revision, Duration)>,
}

impl Host {
    pub(crate) fn start(index: usize, incarnation: Incarnation, now: Duration) -> Self {
        Self {
            index,
            incarnation,
            started: now,
            view: ViewState::default(),
            blocked: 0,
            task: None,
            seen_change: None,
        }
    }

    /// Whether this host sends statements to the member as to the primary.
    pub(crate) fn uses(&self, member: &str, now: Duration) -> bool {
        let hosts = self.view.kind(ObjectKind::Hosts).and_then(|k| k.current_at);
        let times = CopyTimes {
            records: self.view.primary_current_at(SERVICE),
            hosts,
            registered: self
                .view
                .processes()
                .since(&host_name(self.index), self.incarnation),
        };
        let Some((record, revision)) = self.view.primary(SERVICE) else {
            return false;
        };
        times.allow_primary(now, MAX_RECORD_AGE, MAX_HOSTS_AGE)
            && record.primary == member
            && record.change.is_none()
            && revision > self.blocked
    }

    /// Whether the copy is recent enough to act as the monitor of the service.
    pub(crate) fn is_current(&self, now: Duration) -> bool {
        let age = self.view.age(&[ObjectKind::Primaries], now);
        age.is_some_and(|age| age <= MAX_RECORD_AGE)
    }

    /// Time from which no order of a former era can take effect.
    pub(crate) fn settles_at(&self) -> Duration {
        let seen = self.view.eras().seen();
        seen.map_or(self.started, |(_, at)| at) + MAX_RECORD_AGE + EFFECT_TIME
    }

    pub(crate) fn holding(&self, task: &Task) -> Holding {
        let kind = self.view.kind(ObjectKind::Primaries);
        let newest = self
            .view
            .stored_primary(SERVICE)
            .map(|(_, revision)| revision);
        let era = self.view.eras().seen().map_or(0, |(era, _)| era);
        let current_at = kind.and_then(|k| k.current_at).unwrap_or_default();
        Holding {
            written: task.revision,
            newest: newest.unwrap_or(task.revision).max(in_era(era, 0)),
            confirmed: current_at.max(task.written),
        }
    }

    pub(crate) fn knowledge(&mut self, era: Era, now: Duration) -> HostKnowledge {
        self.view.on_era(era, now);
        HostKnowledge {
            host: host_name(self.index),
            incarnation: self.incarnation,
            record: self.view.record_before(SERVICE, era),
            blocked: self.blocked,
            former_era: self.view.era_before(era),
        }
    }

    pub(crate) fn processes(&self) -> BTreeSet<(usize, Incarnation)> {
        let hosts = self.view.hosts().into_iter();
        let all = hosts.map(|(id, entry)| (crate::world::host_index(id), entry.incarnation));
        all.filter(|(index, _)| *index != self.index).collect()
    }
}

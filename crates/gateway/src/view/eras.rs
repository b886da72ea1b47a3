//! What a host keeps from former eras of a store that comes back from older copies.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::DataCentreId;

use crate::model::former_record::FormerRecord;
use crate::model::object::Content;
use crate::model::object::Object;
use crate::model::store_revision::Era;
use crate::view::kind_view::KindView;

/// The operator has written its evacuations again within this time, as members have renewed their
/// registrations after an outage.
const REWRITE_LIMIT: Duration = Duration::from_millis(2600);

/// The eras that this host has seen, and what it still needs of the former ones.
#[derive(Debug, Clone, Default)]
pub struct Eras {
    /// Highest era of the store that this host has seen, and since when.
    seen: Option<(Era, Duration)>,
    /// Era of the records of the primaries before the present one.
    former: Option<Era>,
    /// Records of primaries of former eras, until they are repaired in the present one.
    records: BTreeMap<String, FormerRecord>,
    /// Evacuations of the former era that are not written again, and when they disappeared.
    evacuations: BTreeMap<DataCentreId, Duration>,
}

impl Eras {
    /// Notes an era of the store.
    pub fn on_era(&mut self, era: Era, now: Duration) {
        if self.seen.is_none_or(|(known, _)| era > known) {
            self.seen = Some((era, now));
        }
    }

    /// Highest era of the store that this process has seen, and since when.
    pub fn seen(&self) -> Option<(Era, Duration)> {
        self.seen
    }

    /// Era of the records of the primaries before the present one, if this process has seen it.
    pub fn former(&self) -> Option<Era> {
        self.former
    }

    /// The record of a former era, if the present one is not repaired yet.
    pub fn record(&self, service: &str) -> Option<&FormerRecord> {
        self.records.get(service)
    }

    /// Keeps the records that hold in the era `former`, before a copy of a later one replaces them.
    pub fn keep_records(&mut self, former: Era, view: &KindView) {
        self.former = Some(former);
        let Some(current_at) = view.current_at else {
            return;
        };
        for (service, object) in &view.objects {
            let Some(Content::Primary(record)) = &object.content else {
                continue;
            };
            if !record.is_restored(object.revision) {
                let former = FormerRecord {
                    record: record.clone(),
                    revision: object.revision,
                    current_at,
                };
                self.records.insert(service.clone(), former);
            }
        }
    }

    /// Forgets the records of the services that need none, since their present ones hold.
    pub fn forget_records(&mut self, is_repaired: impl Fn(&str) -> bool) {
        self.records.retain(|service, _| !is_repaired(service));
    }

    /// Keeps evacuations for a moment that are missing in a copy of a later era.
    pub fn keep_evacuations(&mut self, missing: &[Object], now: Duration) {
        let names = missing.iter().map(|o| (o.name.clone(), now));
        self.evacuations.extend(names);
    }

    /// Whether an evacuation disappeared with the former era a moment ago.
    pub fn was_evacuated(&self, data_centre: &str, now: Duration) -> bool {
        let lost = self.evacuations.get(data_centre);
        lost.is_some_and(|at| now.saturating_sub(*at) < REWRITE_LIMIT)
    }
}

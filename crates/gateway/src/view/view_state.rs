//! The copies of all kinds, and what follows from them.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Revision;

use crate::mesh::frame::KindReport;
use crate::model::configuration::Configuration;
use crate::model::host_entry::HostEntry;
use crate::model::kind::Kind;
use crate::model::member_entry::MemberEntry;
use crate::model::object::Changes;
use crate::model::object::Content;
use crate::model::object::Listing;
use crate::model::object::Object;
use crate::model::primary_record::PrimaryRecord;
use crate::view::kind_view::KindView;

/// A registration that disappeared is still used for this long: registrations lapse while the
/// store is away and return within about two seconds.
const LAPSE: Duration = Duration::from_millis(2600);

/// This host's knowledge of the store.
#[derive(Debug, Default)]
pub struct ViewState {
    kinds: BTreeMap<Kind, KindView>,
    configuration: Option<Rc<Configuration>>,
    /// Members whose registration disappeared, and when.
    lapsed: BTreeMap<MemberId, (MemberEntry, Duration)>,
    /// Members that were slow after their start, until when, and by which revision of their entry.
    cold: BTreeMap<MemberId, (Revision, Duration)>,
    /// When a host's registration last disappeared while it was not leaving.
    departed: Option<Duration>,
}

impl ViewState {
    pub fn kind(&self, kind: Kind) -> Option<&KindView> {
        self.kinds.get(&kind)
    }

    pub fn revision(&self, kind: Kind) -> Revision {
        self.kinds.get(&kind).map_or(0, |k| k.revision)
    }

    /// Revision of the last change of each kind.
    pub fn contents(&self) -> Vec<(Kind, Revision)> {
        let content = |kind| self.kinds.get(&kind).map_or(0, |k: &KindView| k.content);
        Kind::ALL.map(|kind| (kind, content(kind))).to_vec()
    }

    /// Age of the oldest of these kinds; none if one was never read.
    pub fn age(&self, kinds: &[Kind], now: Duration) -> Option<Duration> {
        let ages = kinds.iter().map(|k| self.kinds.get(k)?.age(now));
        ages.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Whether every kind was read at least once.
    pub fn complete(&self, now: Duration) -> bool {
        self.age(&Kind::ALL, now).is_some() && self.configuration.is_some()
    }

    pub fn on_listing(&mut self, kind: Kind, listing: Listing, sent: Duration, now: Duration) {
        let removed = self.view(kind).on_listing(listing, sent);
        self.after(kind, removed, now);
    }

    pub fn on_changes(&mut self, kind: Kind, changes: Changes, sent: Duration, now: Duration) {
        let removed = self.view(kind).on_changes(changes, sent);
        self.after(kind, removed, now);
    }

    /// Takes the store's present revision; false if this kind is to be listed again.
    pub fn on_revision(&mut self, kind: Kind, revision: Revision, sent: Duration) -> bool {
        self.view(kind).on_revision(revision, sent)
    }

    pub fn on_written(&mut self, kind: Kind, object: Object, now: Duration) {
        self.view(kind).on_written(object);
        self.after(kind, Vec::new(), now);
    }

    /// Applies a peer's copy that was current at `at`. False if it must be read from the store.
    pub fn on_report(&mut self, report: KindReport, at: Duration, now: Duration) -> bool {
        let kind = report.kind;
        match self.view(kind).on_report(report, at) {
            Some(removed) => {
                self.after(kind, removed, now);
                true
            }
            None => false,
        }
    }

    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.clone()
    }

    pub fn member(&self, id: &str, now: Duration) -> Option<&MemberEntry> {
        self.registered(id).or_else(|| {
            let (entry, at) = self.lapsed.get(id)?;
            (now.saturating_sub(*at) < LAPSE).then_some(entry)
        })
    }

    /// A member that is registered now.
    pub fn registered(&self, id: &str) -> Option<&MemberEntry> {
        match self.kinds.get(&Kind::Members)?.objects.get(id)?.content {
            Some(Content::Member(ref entry)) => Some(entry),
            _ => None,
        }
    }

    /// Members of a service that may be used, including those that lapsed a moment ago.
    pub fn members(&self, service: &str, now: Duration) -> Vec<(&MemberId, &MemberEntry)> {
        let present = self.kinds.get(&Kind::Members).into_iter();
        let present = present.flat_map(|k| &k.objects).filter_map(|(id, o)| {
            let Some(Content::Member(entry)) = &o.content else {
                return None;
            };
            Some((id, entry))
        });
        let lapsed = self.lapsed.iter().filter(|(id, (_, at))| {
            now.saturating_sub(*at) < LAPSE && self.registered(id).is_none()
        });
        present
            .chain(lapsed.map(|(id, (entry, _))| (id, entry)))
            .filter(|(_, entry)| entry.service == service)
            .collect()
    }

    /// Whether a member is still slow after its start.
    pub fn is_cold(&self, id: &str, now: Duration) -> bool {
        self.cold.get(id).is_some_and(|(_, until)| now < *until)
    }

    pub fn evacuated(&self, data_centre: &str) -> bool {
        let view = self.kinds.get(&Kind::Evacuations);
        view.is_some_and(|k| k.objects.contains_key(data_centre))
    }

    pub fn hosts(&self) -> Vec<(&HostId, &HostEntry)> {
        let view = self.kinds.get(&Kind::Hosts).into_iter();
        view.flat_map(|k| &k.objects)
            .filter_map(|(id, o)| match &o.content {
                Some(Content::Host(entry)) => Some((id, entry)),
                _ => None,
            })
            .collect()
    }

    /// When a host that was not leaving last disappeared.
    pub fn departed(&self) -> Option<Duration> {
        self.departed
    }

    pub fn host(&self, id: &str) -> Option<&HostEntry> {
        match self.kinds.get(&Kind::Hosts)?.objects.get(id)?.content {
            Some(Content::Host(ref entry)) => Some(entry),
            _ => None,
        }
    }

    /// The record of a service's primary and its revision.
    pub fn primary(&self, service: &str) -> Option<(&PrimaryRecord, Revision)> {
        let object = self.kinds.get(&Kind::Primaries)?.objects.get(service)?;
        match &object.content {
            Some(Content::Primary(record)) => Some((record, object.revision)),
            _ => None,
        }
    }

    fn view(&mut self, kind: Kind) -> &mut KindView {
        self.kinds.entry(kind).or_default()
    }

    fn after(&mut self, kind: Kind, removed: Vec<Object>, now: Duration) {
        match kind {
            Kind::Configuration => self.renew_configuration(),
            Kind::Members => {
                for object in removed {
                    if let Some(Content::Member(entry)) = object.content {
                        self.lapsed.insert(object.name, (entry, now));
                    }
                }
                self.lapsed
                    .retain(|_, (_, at)| now.saturating_sub(*at) < LAPSE);
                self.renew_cold(now);
            }
            Kind::Hosts => {
                let active =
                    |o: &Object| matches!(&o.content, Some(Content::Host(h)) if !h.leaving);
                if removed.iter().any(active) {
                    self.departed = Some(now);
                }
            }
            Kind::Evacuations | Kind::Primaries => {}
        }
    }

    /// An entry tells a time left, which is counted from when this host first sees it: that may be
    /// too long, never too short.
    fn renew_cold(&mut self, now: Duration) {
        let Some(view) = self.kinds.get(&Kind::Members) else {
            return;
        };
        let known = std::mem::take(&mut self.cold);
        for (id, object) in &view.objects {
            let Some(Content::Member(entry)) = &object.content else {
                continue;
            };
            if entry.cold.is_zero() {
                continue;
            }
            let seen = known.get(id).filter(|k| k.0 == object.revision);
            let until = seen.map_or(now + entry.cold, |k| k.1);
            self.cold.insert(id.clone(), (object.revision, until));
        }
    }

    /// A configuration of a lower version never replaces a higher one.
    fn renew_configuration(&mut self) {
        let view = self.kinds.get(&Kind::Configuration).into_iter();
        let newest = view
            .flat_map(|k| k.objects.values())
            .filter_map(|o| match &o.content {
                Some(Content::Configuration(c)) => Some(c),
                _ => None,
            })
            .max_by_key(|c| c.version);
        let Some(newest) = newest else { return };
        let known = self.configuration.as_ref().map_or(0, |c| c.version);
        if newest.version > known {
            tracing::info!(
                event = 603,
                version = newest.version,
                "configuration in force"
            );
            self.configuration = Some(Rc::new(newest.clone()));
        }
    }
}

//! This host's copies of all kinds of objects, and the state derived from them.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Revision;

use crate::mesh::frame::KindReport;
use crate::model::configuration::Configuration;
use crate::model::host_entry::HostEntry;
use crate::model::kind::ObjectKind;
use crate::model::known_member::KnownMember;
use crate::model::member_entry::MemberEntry;
use crate::model::object::Changes;
use crate::model::object::Content;
use crate::model::object::Listing;
use crate::model::object::Object;
use crate::model::primary_record::PrimaryRecord;
use crate::model::store_revision;
use crate::model::store_revision::Era;
use crate::view::eras::Eras;
use crate::view::host_processes::HostProcesses;
use crate::view::kind_view::KindView;

/// A member whose registration disappeared is still used for this long: registrations expire while
/// the store is unavailable, and are renewed within about two seconds of its return.
const EXPIRED_USE_LIMIT: Duration = Duration::from_millis(2600);

/// This host's view of the store.
#[derive(Debug, Clone, Default)]
pub struct ViewState {
    kinds: BTreeMap<ObjectKind, KindView>,
    configuration: Option<Rc<Configuration>>,
    /// Members whose registration disappeared, and when. They are kept until they or their successors
    /// are registered.
    expired: BTreeMap<MemberId, (MemberEntry, Duration)>,
    /// Cold members, with the revision of their entry and the time until which they are cold.
    cold: BTreeMap<MemberId, (Revision, Duration)>,
    processes: HostProcesses,
    /// Number of changes of the list of hosts.
    hosts_changes: u64,
    eras: Eras,
}

impl ViewState {
    pub fn kind(&self, kind: ObjectKind) -> Option<&KindView> {
        self.kinds.get(&kind)
    }

    /// Store revision from which a watch of the kind continues.
    pub fn watch_revision(&self, kind: ObjectKind) -> Revision {
        self.kinds.get(&kind).map_or(0, |k| k.watch_revision)
    }

    /// Returns the content revision of each kind.
    pub fn content_revisions(&self) -> Vec<(ObjectKind, Revision)> {
        let revision = |kind| {
            self.kinds
                .get(&kind)
                .map_or(0, |k: &KindView| k.content_revision)
        };
        ObjectKind::ALL.map(|kind| (kind, revision(kind))).to_vec()
    }

    /// Returns the age of the oldest of these kinds, or `None` if one was never read.
    pub fn age(&self, kinds: &[ObjectKind], now: Duration) -> Option<Duration> {
        let ages = kinds.iter().map(|k| self.kinds.get(k)?.age(now));
        ages.collect::<Option<Vec<_>>>()?.into_iter().max()
    }

    /// Returns whether every kind was read at least once and a configuration is known.
    pub fn is_complete(&self, now: Duration) -> bool {
        self.age(&ObjectKind::ALL, now).is_some() && self.configuration.is_some()
    }

    pub fn on_listing(
        &mut self,
        kind: ObjectKind,
        listing: Listing,
        sent: Duration,
        now: Duration,
    ) {
        let rose = self.on_revision_seen(kind, listing.revision, now);
        let removed = self.kind_mut(kind).on_listing(listing, sent);
        if rose && kind == ObjectKind::Evacuations {
            self.eras.keep_evacuations(&removed, now);
        }
        self.update_derived_state(kind, removed, now);
    }

    pub fn on_changes(
        &mut self,
        kind: ObjectKind,
        changes: Changes,
        sent: Duration,
        now: Duration,
    ) {
        let changed = !changes.changes.is_empty();
        let removed = self.kind_mut(kind).on_changes(changes, sent);
        if changed {
            self.update_derived_state(kind, removed, now);
        }
    }

    /// Renews the age of a kind by the store's current revision. Returns false if the kind must be
    /// listed again.
    pub fn on_revision(&mut self, kind: ObjectKind, revision: Revision, sent: Duration) -> bool {
        self.kind_mut(kind).on_revision(revision, sent)
    }

    pub fn on_written(&mut self, kind: ObjectKind, object: Object, now: Duration) {
        self.on_era(store_revision::era(object.revision), now);
        self.kind_mut(kind).on_written(object);
        self.update_derived_state(kind, Vec::new(), now);
    }

    /// Applies a peer's copy that was current at `at`. Returns false if the report is incomplete,
    /// so that the kind must be read from the store.
    pub fn on_report(&mut self, report: KindReport, at: Duration, now: Duration) -> bool {
        let kind = report.kind;
        let changed = report.content > self.kind_mut(kind).content_revision;
        let rose = report.complete && self.on_revision_seen(kind, report.content, now);
        match self.kind_mut(kind).on_report(report, at) {
            Some(removed) => {
                if rose && kind == ObjectKind::Evacuations {
                    self.eras.keep_evacuations(&removed, now);
                }
                if changed {
                    self.update_derived_state(kind, removed, now);
                }
                true
            }
            None => false,
        }
    }

    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.clone()
    }

    /// Returns a member that is registered, or whose registration disappeared only recently.
    pub fn member(&self, id: &str, now: Duration) -> Option<&MemberEntry> {
        self.registered(id).or_else(|| {
            let (entry, at) = self.expired.get(id)?;
            (now.saturating_sub(*at) < EXPIRED_USE_LIMIT).then_some(entry)
        })
    }

    /// Returns a member that is currently registered.
    pub fn registered(&self, id: &str) -> Option<&MemberEntry> {
        match self
            .kinds
            .get(&ObjectKind::Members)?
            .objects
            .get(id)?
            .content
        {
            Some(Content::Member(ref entry)) => Some(entry),
            _ => None,
        }
    }

    /// Returns the members of a service, including those whose registration disappeared only
    /// recently.
    pub fn members(&self, service: &str, now: Duration) -> Vec<(&MemberId, &MemberEntry)> {
        let mut known = self.known_members(service);
        known.retain(|(id, _)| self.member(id, now).is_some());
        known
    }

    /// Returns the members of a service, including those whose registration disappeared at any time
    /// since this process started. Such a member may not be used, but may still run and hold
    /// commits that no registered member has received.
    pub fn known_members(&self, service: &str) -> Vec<(&MemberId, &MemberEntry)> {
        let expired = self.expired.iter();
        let expired = expired.filter(|(id, _)| self.registered(id).is_none());
        self.registered_members()
            .chain(expired.map(|(id, (entry, _))| (id, entry)))
            .filter(|(_, entry)| entry.service == service)
            .collect()
    }

    /// Returns the registered members of a service, as its record lists them.
    pub fn registered_of(&self, service: &str) -> Vec<KnownMember> {
        let members = self.registered_members();
        let members = members.filter(|(_, entry)| entry.service == service);
        members
            .map(|(id, entry)| KnownMember {
                member: id.clone(),
                address: entry.address,
            })
            .collect()
    }

    fn registered_members(&self) -> impl Iterator<Item = (&MemberId, &MemberEntry)> {
        let view = self.kinds.get(&ObjectKind::Members).into_iter();
        view.flat_map(|k| &k.objects)
            .filter_map(|(id, o)| match &o.content {
                Some(Content::Member(entry)) => Some((id, entry)),
                _ => None,
            })
    }

    /// Returns whether a member is still slow after its start.
    pub fn is_cold(&self, id: &str, now: Duration) -> bool {
        self.cold.get(id).is_some_and(|(_, until)| now < *until)
    }

    /// Returns whether a data centre is being evacuated, or was until the store came back from a
    /// copy a moment ago: the operator's writes are gone until they are written again.
    pub fn is_evacuated(&self, data_centre: &str, now: Duration) -> bool {
        let view = self.kinds.get(&ObjectKind::Evacuations);
        view.is_some_and(|k| k.objects.contains_key(data_centre))
            || self.eras.was_evacuated(data_centre, now)
    }

    /// Names of all registered hosts, also of those that are leaving.
    pub fn host_ids(&self) -> Vec<HostId> {
        self.hosts().into_iter().map(|(id, _)| id.clone()).collect()
    }

    pub fn hosts(&self) -> Vec<(&HostId, &HostEntry)> {
        let view = self.kinds.get(&ObjectKind::Hosts).into_iter();
        view.flat_map(|k| &k.objects)
            .filter_map(|(id, o)| match &o.content {
                Some(Content::Host(entry)) => Some((id, entry)),
                _ => None,
            })
            .collect()
    }

    /// Number of changes of the list of hosts so far.
    pub fn hosts_changes(&self) -> u64 {
        self.hosts_changes
    }

    /// Which processes are registered, and when others ended.
    pub fn processes(&self) -> &HostProcesses {
        &self.processes
    }

    pub fn host(&self, id: &str) -> Option<&HostEntry> {
        match self.kinds.get(&ObjectKind::Hosts)?.objects.get(id)?.content {
            Some(Content::Host(ref entry)) => Some(entry),
            _ => None,
        }
    }

    /// Returns the primary record of a service that holds at present, and its revision. It is the
    /// one of a former era until the record that came back from a copy is repaired.
    pub fn primary(&self, service: &str) -> Option<(&PrimaryRecord, Revision)> {
        if let Some(former) = self.eras.record(service) {
            return Some((&former.record, former.revision));
        }
        let (record, revision) = self.stored_primary(service)?;
        (!record.is_restored(revision)).then_some((record, revision))
    }

    /// When the record that `primary` returns was last known to be current.
    pub fn primary_current_at(&self, service: &str) -> Option<Duration> {
        match self.eras.record(service) {
            Some(former) => Some(former.current_at),
            None => self.kinds.get(&ObjectKind::Primaries)?.current_at,
        }
    }

    /// Whether the record of a service's primary has come back from a copy, or was lost with one,
    /// and is not repaired yet.
    pub fn is_primary_restored(&self, service: &str) -> bool {
        let stored = self.stored_primary(service);
        let restored = |(record, revision): (&PrimaryRecord, _)| record.is_restored(revision);
        stored.map_or(self.eras.record(service).is_some(), restored)
    }

    pub fn eras(&self) -> &Eras {
        &self.eras
    }

    /// Notes an era of the store.
    pub fn on_era(&mut self, era: Era, now: Duration) {
        self.eras.on_era(era, now);
    }

    /// Newest record of a service's primary that held in an era before `era`, with its revision.
    pub fn record_before(&self, service: &str, era: Era) -> Option<(PrimaryRecord, Revision)> {
        let stored = self.stored_primary(service).filter(|(record, revision)| {
            !record.is_restored(*revision) && store_revision::era(*revision) < era
        });
        let stored = stored.map(|(record, revision)| (record.clone(), revision));
        let former = self.eras.record(service);
        stored.or_else(|| former.map(|f| (f.record.clone(), f.revision)))
    }

    /// Era of this host's copy of the records before it became one of `era`; `None` if it never was
    /// of a former era, or is of a later one.
    pub fn era_before(&self, era: Era) -> Option<Era> {
        match self.primaries_era().cmp(&era) {
            Ordering::Less => Some(self.primaries_era()),
            Ordering::Equal => self.eras.former(),
            Ordering::Greater => None,
        }
    }

    /// Era of this host's copy of the records of the primaries.
    pub fn primaries_era(&self) -> Era {
        let view = self.kinds.get(&ObjectKind::Primaries);
        view.map_or(0, |k| store_revision::era(k.revision))
    }

    /// Returns the primary record of a service as the store holds it, and its revision.
    pub fn stored_primary(&self, service: &str) -> Option<(&PrimaryRecord, Revision)> {
        let object = self
            .kinds
            .get(&ObjectKind::Primaries)?
            .objects
            .get(service)?;
        match &object.content {
            Some(Content::Primary(record)) => Some((record, object.revision)),
            _ => None,
        }
    }

    fn kind_mut(&mut self, kind: ObjectKind) -> &mut KindView {
        self.kinds.entry(kind).or_default()
    }

    /// Notes the era of a list or report. Returns whether it replaces a copy of a former era.
    fn on_revision_seen(&mut self, kind: ObjectKind, revision: Revision, now: Duration) -> bool {
        let era = store_revision::era(revision);
        self.eras.on_era(era, now);
        let Some(view) = self.kinds.get(&kind) else {
            return false;
        };
        let known = store_revision::era(view.revision);
        if view.current_at.is_none() || era <= known {
            return false;
        }
        tracing::warn!(
            event = 673,
            ?kind,
            era,
            "copy of a former era of the store replaced"
        );
        if kind == ObjectKind::Primaries {
            self.eras.keep_records(known, view);
        }
        true
    }

    /// Forgets the records of former eras that are repaired.
    fn forget_former_records(&mut self) {
        let mut eras = std::mem::take(&mut self.eras);
        eras.forget_records(|service| {
            let stored = self.stored_primary(service);
            stored.is_some_and(|(record, revision)| !record.is_restored(revision))
        });
        self.eras = eras;
    }

    /// Updates the derived state after a change of a kind.
    fn update_derived_state(&mut self, kind: ObjectKind, removed: Vec<Object>, now: Duration) {
        match kind {
            ObjectKind::Configuration => self.update_configuration(),
            ObjectKind::Members => {
                for object in removed {
                    if let Some(Content::Member(entry)) = object.content {
                        self.expired.insert(object.name, (entry, now));
                    }
                }
                self.forget_replaced_members();
                self.update_cold(now);
            }
            ObjectKind::Hosts => {
                self.hosts_changes += 1;
                let present = self.hosts().into_iter();
                let present = present.map(|(id, entry)| (id.clone(), entry.incarnation));
                let present = present.collect();
                self.processes.on_list(present, &removed, now);
            }
            ObjectKind::Primaries => self.forget_former_records(),
            ObjectKind::Evacuations | ObjectKind::Duties => {}
        }
    }

    /// Forgets the members that are registered again, or in whose place another member of the
    /// service is registered. A new member takes over the log and the address of the one that left.
    fn forget_replaced_members(&mut self) {
        let mut expired = std::mem::take(&mut self.expired);
        expired.retain(|id, (entry, _)| {
            !self.registered_members().any(|(other, o)| {
                other == id || (o.service == entry.service && o.address == entry.address)
            })
        });
        self.expired = expired;
    }

    /// Updates the cold members. An entry contains the remaining time, which is counted from when
    /// this host first sees the entry; the result may be too late, but never too early.
    fn update_cold(&mut self, now: Duration) {
        let Some(view) = self.kinds.get(&ObjectKind::Members) else {
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
            let until = seen.map_or(now.saturating_add(entry.cold), |k| k.1);
            self.cold.insert(id.clone(), (object.revision, until));
        }
    }

    /// Applies the newest configuration, unless its version is not higher than the current one.
    fn update_configuration(&mut self) {
        let view = self.kinds.get(&ObjectKind::Configuration).into_iter();
        let newest = view
            .flat_map(|k| k.objects.values())
            .filter_map(|o| match &o.content {
                Some(Content::Configuration(c)) => Some(c),
                _ => None,
            })
            .max_by_key(|c| c.version);
        let Some(newest) = newest else { return };
        let known = self.configuration.as_ref().map_or(0, |c| c.version);
        if newest.version < known {
            self.keep_configuration();
        } else if newest.version > known {
            tracing::info!(
                event = 603,
                version = newest.version,
                "configuration applied"
            );
            self.configuration = Some(Rc::new(newest.clone()));
        }
    }

    /// Puts the configuration in force in place of the lower version that the store has gone back
    /// to, so that hosts that ask this one do not return to it.
    fn keep_configuration(&mut self) {
        let Some(configuration) = self.configuration.as_deref().cloned() else {
            return;
        };
        let Some(view) = self.kinds.get_mut(&ObjectKind::Configuration) else {
            return;
        };
        for object in view.objects.values_mut() {
            if matches!(object.content, Some(Content::Configuration(_))) {
                object.content = Some(Content::Configuration(configuration.clone()));
            }
        }
    }
}

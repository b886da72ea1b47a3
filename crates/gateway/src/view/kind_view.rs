//! Copy of all objects of one kind.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use magnoliahatch_core::ids::Revision;

use crate::mesh::frame::KindReport;
use crate::model::kind::Kind;
use crate::model::object::Change;
use crate::model::object::Changes;
use crate::model::object::Listing;
use crate::model::object::Object;

/// Objects of a kind and when they were last known to be current.
#[derive(Debug, Default)]
pub struct KindView {
    pub objects: BTreeMap<String, Object>,
    /// Store revision up to which changes are included; watches continue from here.
    pub revision: Revision,
    /// Store revision of the last change of this content; it tells copies apart.
    pub content: Revision,
    /// Store revision of the last list; while the store has no other, the list is current.
    listed: Revision,
    /// Time at which a call was sent whose answer showed this content.
    pub current: Option<Duration>,
}

impl KindView {
    /// Replaces the content by a list that was asked for at `sent`. Returns the objects that are
    /// no longer there. An older list is ignored.
    pub fn on_listing(&mut self, listing: Listing, sent: Duration) -> Vec<Object> {
        if listing.revision < self.revision {
            return Vec::new();
        }
        let mut previous = std::mem::take(&mut self.objects);
        for object in listing.objects {
            let known = previous.remove(&object.name);
            self.store(object, known);
        }
        // Own writes after the list was made are not in it.
        previous.retain(|_, object| {
            let newer = object.revision > listing.revision;
            if newer {
                self.objects.insert(object.name.clone(), object.clone());
            }
            !newer
        });
        self.revision = listing.revision;
        self.listed = listing.revision;
        self.content = listing.revision;
        self.current = self.current.max(Some(sent));
        previous.into_values().collect()
    }

    /// Applies changes that were asked for at `sent`. Returns the removed objects.
    pub fn on_changes(&mut self, changes: Changes, sent: Duration) -> Vec<Object> {
        let mut removed = Vec::new();
        if !changes.changes.is_empty() {
            self.content = self.content.max(changes.revision);
        }
        for change in changes.changes {
            match change {
                Change::Set(object) => {
                    let known = self.objects.remove(&object.name);
                    self.store(object, known);
                }
                Change::Removed(name) => removed.extend(self.objects.remove(&name)),
            }
        }
        self.revision = self.revision.max(changes.revision);
        self.current = self.current.max(Some(sent));
        removed
    }

    /// Takes the present revision of the store, which was asked for at `sent`. False if the store
    /// has changed since the last list, so that this copy may be old.
    pub fn on_revision(&mut self, revision: Revision, sent: Duration) -> bool {
        let current = self.current.is_some() && self.listed == revision;
        if current {
            self.current = self.current.max(Some(sent));
        }
        current
    }

    /// Applies the answer to an own write, which is newer than what the view holds.
    pub fn on_written(&mut self, object: Object) {
        // The content's revision stays: changes before this write may not have arrived yet.
        let known = self.objects.remove(&object.name);
        self.store(object, known);
    }

    /// Applies a peer's copy, which was current at `at`. Returns the removed objects. None if the
    /// report leaves out objects that this copy lacks.
    pub fn on_report(&mut self, report: KindReport, at: Duration) -> Option<Vec<Object>> {
        let changed = report.content > self.content;
        if changed && !report.complete {
            return None;
        }
        let mut removed = Vec::new();
        if changed {
            let names: BTreeSet<&String> = report.names.iter().collect();
            let gone: Vec<String> = self
                .objects
                .values()
                .filter(|o| o.revision <= report.content && !names.contains(&o.name))
                .map(|o| o.name.clone())
                .collect();
            removed.extend(gone.iter().filter_map(|name| self.objects.remove(name)));
            for object in report.objects {
                let known = self.objects.remove(&object.name);
                self.store(object, known);
            }
            self.content = report.content;
            self.revision = self.revision.max(report.content);
        }
        // A copy that is newer than the peer's was current at that time as well.
        self.current = self.current.max(Some(at));
        Some(removed)
    }

    /// What a peer that has the content of revision `known` lacks.
    pub fn report(&self, kind: Kind, known: Revision, now: Duration) -> Option<KindReport> {
        let mut report = KindReport {
            kind,
            content: self.content,
            age: self.age(now)?,
            names: Vec::new(),
            objects: Vec::new(),
            complete: true,
        };
        if self.content > known {
            report.names = self.objects.keys().cloned().collect();
            let newer = self.objects.values().filter(|o| o.revision > known);
            report.objects = newer.cloned().collect();
        }
        Some(report)
    }

    /// Age of the content, none if nothing was read yet.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.current.map(|at| now.saturating_sub(at))
    }

    /// An older revision, or content that cannot be read, does not replace what is known.
    fn store(&mut self, object: Object, known: Option<Object>) {
        let kept = match known {
            Some(known) if known.revision > object.revision => known,
            Some(known) if object.content.is_none() => Object {
                content: known.content,
                ..object
            },
            _ => object,
        };
        self.objects.insert(kept.name.clone(), kept);
    }
}

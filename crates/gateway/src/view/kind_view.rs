//! This host's copy of all objects of one kind.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use magnoliahatch_core::ids::Revision;

use crate::mesh::frame::Difference;
use crate::mesh::frame::KindReport;
use crate::model::kind::ObjectKind;
use crate::model::object::Change;
use crate::model::object::Changes;
use crate::model::object::Listing;
use crate::model::object::Object;
use crate::model::store_revision;
use crate::view::removal_log::RemovalLog;

/// The objects of a kind, and when they were last known to be current.
#[derive(Debug, Clone, Default)]
pub struct KindView {
    pub objects: BTreeMap<String, Object>,
    /// Store revision up to which changes are included.
    pub revision: Revision,
    /// Store revision from which the next watch continues. After an answer without changes it is
    /// the revision of the answer before: a store that drops its history may end a watch without
    /// the changes that it missed.
    pub watch_revision: Revision,
    /// Store revision of the last change to the objects, by which peers compare their copies.
    pub content_revision: Revision,
    /// Store revision of the last list. While the store's revision is the same, the list is
    /// current.
    listed_revision: Revision,
    /// Time at which the copy was last known to be current: when the call was sent whose answer
    /// showed this content.
    pub current_at: Option<Duration>,
    removals: RemovalLog,
    /// Content revision of a peer's copy whose objects the peer left out, so that this host has to
    /// list them.
    missing_content: Revision,
}

impl KindView {
    /// Replaces the content by a list that was requested at `sent`. Returns the removed objects.
    /// Ignores a list that is older than the copy.
    pub fn on_listing(&mut self, listing: Listing, sent: Duration) -> Vec<Object> {
        if listing.revision < self.revision {
            return Vec::new();
        }
        if self.has_same_objects(&listing) {
            // Otherwise peers would take their copies, which lack this host's own writes, for
            // current, and an incomplete report would cause this list again.
            if self.has_unreported_write() || self.missing_content > self.content_revision {
                self.content_revision = listing.revision;
                self.removals.restart(listing.revision);
            }
            self.on_listed(listing.revision, sent);
            return Vec::new();
        }
        let mut previous = std::mem::take(&mut self.objects);
        for object in listing.objects {
            let known = previous.remove(&object.name);
            self.insert(object, known);
        }
        // Keeps this host's own writes that are newer than the list.
        previous.retain(|_, object| {
            let newer = object.revision > listing.revision;
            if newer {
                self.objects.insert(object.name.clone(), object.clone());
            }
            !newer
        });
        self.content_revision = listing.revision;
        self.removals.restart(listing.revision);
        self.on_listed(listing.revision, sent);
        previous.into_values().collect()
    }

    fn on_listed(&mut self, revision: Revision, sent: Duration) {
        self.revision = revision;
        self.watch_revision = revision;
        self.listed_revision = revision;
        self.current_at = self.current_at.max(Some(sent));
    }

    /// Whether a list contains just the known objects, so that peers need not be told of it.
    fn has_same_objects(&self, listing: &Listing) -> bool {
        let is_known = |o: &Object| {
            let known = self.objects.get(&o.name);
            known.is_some_and(|known| known.revision == o.revision)
        };
        self.current_at.is_some()
            && listing.objects.len() == self.objects.len()
            && listing.objects.iter().all(is_known)
    }

    /// Whether the copy contains a write of this host that peers are not told of yet.
    fn has_unreported_write(&self) -> bool {
        let mut objects = self.objects.values();
        objects.any(|o| o.revision > self.content_revision)
    }

    /// Applies changes that were requested at `sent`. Returns the removed objects. Ignores changes
    /// that are older than the last list, which includes them.
    pub fn on_changes(&mut self, changes: Changes, sent: Duration) -> Vec<Object> {
        if changes.revision < self.listed_revision {
            return Vec::new();
        }
        let mut removed = Vec::new();
        self.watch_revision = self.revision;
        if !changes.changes.is_empty() {
            self.content_revision = self.content_revision.max(changes.revision);
            self.watch_revision = self.revision.max(changes.revision);
        }
        for change in changes.changes {
            match change {
                Change::Set(object) => {
                    self.removals.on_set(&object.name);
                    let known = self.objects.remove(&object.name);
                    self.insert(object, known);
                }
                Change::Removed(name) => {
                    removed.extend(self.objects.remove(&name));
                    self.removals.on_removed(name, changes.revision);
                }
            }
        }
        self.revision = self.revision.max(changes.revision);
        self.current_at = self.current_at.max(Some(sent));
        removed
    }

    /// Renews the age by the store's current revision, which was requested at `sent`. Returns false
    /// if the store has changed since the last list, so that this copy may be outdated.
    pub fn on_revision(&mut self, revision: Revision, sent: Duration) -> bool {
        let current = self.current_at.is_some() && self.listed_revision == revision;
        if current {
            self.current_at = self.current_at.max(Some(sent));
        }
        current
    }

    /// Applies the result of this host's own write, which is newer than the copy.
    pub fn on_written(&mut self, object: Object) {
        if store_revision::era(object.revision) < store_revision::era(self.revision) {
            // The store has lost this write.
            return;
        }
        // `content_revision` stays: earlier changes by others may not have arrived yet.
        self.removals.on_set(&object.name);
        let known = self.objects.remove(&object.name);
        self.insert(object, known);
    }

    /// Applies a peer's copy, which was current at `at`. Returns the removed objects, or `None` if
    /// the report omits objects that this copy lacks.
    pub fn on_report(&mut self, report: KindReport, at: Duration) -> Option<Vec<Object>> {
        let changed = report.content > self.content_revision;
        if changed && !report.complete {
            self.missing_content = report.content;
            return None;
        }
        let mut removed = Vec::new();
        if changed {
            let gone: Vec<String> = match &report.difference {
                Difference::Removed(names) => names.clone(),
                Difference::All(names) => {
                    let names: BTreeSet<&String> = names.iter().collect();
                    let present = self.objects.keys();
                    present.filter(|n| !names.contains(n)).cloned().collect()
                }
            };
            match report.difference {
                Difference::Removed(names) => {
                    for name in names {
                        self.removals.on_removed(name, report.content);
                    }
                }
                Difference::All(_) => self.removals.restart(report.content),
            }
            for name in gone {
                // This host's own writes may be newer than the report.
                let older = |o: &Object| o.revision <= report.content;
                if self.objects.get(&name).is_some_and(older) {
                    removed.extend(self.objects.remove(&name));
                }
            }
            for object in report.objects {
                self.removals.on_set(&object.name);
                let known = self.objects.remove(&object.name);
                self.insert(object, known);
            }
            self.content_revision = report.content;
            self.revision = self.revision.max(report.content);
            self.watch_revision = self.watch_revision.max(report.content);
        }
        // If this copy is newer than the peer's, it was current at that time as well.
        self.current_at = self.current_at.max(Some(at));
        Some(removed)
    }

    /// Builds the report for a peer whose copy has content revision `known`. Returns `None` if this
    /// kind has not been read yet.
    pub fn report(&self, kind: ObjectKind, known: Revision, now: Duration) -> Option<KindReport> {
        let mut report = KindReport {
            kind,
            content: self.content_revision,
            age: self.age(now)?,
            difference: Difference::Removed(Vec::new()),
            objects: Vec::new(),
            complete: true,
        };
        if self.content_revision > known {
            report.difference = match self.removals.since(known) {
                Some(names) => Difference::Removed(names),
                None => Difference::All(self.objects.keys().cloned().collect()),
            };
            let newer = self.objects.values().filter(|o| o.revision > known);
            report.objects = newer.cloned().collect();
        }
        Some(report)
    }

    /// Age of the copy, or `None` if nothing was read yet.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.current_at.map(|at| now.saturating_sub(at))
    }

    /// Inserts an object. An older revision does not replace a known object, and content that
    /// cannot be decoded does not replace known content.
    fn insert(&mut self, object: Object, known: Option<Object>) {
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

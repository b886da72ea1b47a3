//! Copy of all objects of one kind.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::Revision;

use crate::model::object::Change;
use crate::model::object::Changes;
use crate::model::object::Listing;
use crate::model::object::Object;

/// Objects of a kind and when they were last known to be current.
#[derive(Debug, Default)]
pub struct KindView {
    pub objects: BTreeMap<String, Object>,
    /// Store revision up to which changes are included.
    pub revision: Revision,
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
        self.revision = listing.revision;
        self.current = self.current.max(Some(sent));
        previous.into_values().collect()
    }

    /// Applies changes that were asked for at `sent`. Returns the removed objects.
    pub fn on_changes(&mut self, changes: Changes, sent: Duration) -> Vec<Object> {
        let mut removed = Vec::new();
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

    /// Applies the answer to an own write, which is newer than what the view holds.
    pub fn on_written(&mut self, object: Object) {
        let known = self.objects.remove(&object.name);
        self.store(object, known);
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

//! The configuration in effect on one host.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use magnoliahatch_core::ids::DataCentreId;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::ids::RouteId;
use serde::de::DeserializeOwned;

use crate::config_patch::ConfigPatch;
use crate::config_patch::MergeResult;
use crate::objects::change::Change;
use crate::objects::contract::Contract;
use crate::objects::database::Database;
use crate::objects::host_record::HostRecord;
use crate::objects::kind;
use crate::objects::member::Member;
use crate::objects::object_list::ObjectList;
use crate::objects::placement::Placement;
use crate::objects::primary_hint::PrimaryHint;
use crate::objects::route::Route;
use crate::objects::seat_table::SeatTable;
use crate::objects::stored_object::StoredObject;
use crate::objects::token_secret::TokenSecret;

/// Kind and name of an object.
pub type ObjectKey = (String, String);

/// Typed copy of the store's objects. A change is applied only if its revision is higher, so that a
/// late or repeated change from the store or a peer never overwrites a newer one.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    /// Highest revision up to which every change has been applied.
    pub revision: Revision,
    /// Whether a complete configuration has been received, from the store or from a peer.
    pub loaded: bool,
    pub contracts: BTreeMap<OrganisationId, Contract>,
    pub routes: BTreeMap<RouteId, Route>,
    pub databases: BTreeMap<DatabaseId, Database>,
    /// Keyed by `host/N`, `endpoint/N` or `data-centre/N`.
    pub placements: BTreeMap<String, Placement>,
    pub hosts: BTreeMap<HostId, HostRecord>,
    pub primaries: BTreeMap<DatabaseId, PrimaryHint>,
    pub seats: SeatTable,
    pub secrets: BTreeMap<String, TokenSecret>,
    /// Objects whose newest value cannot be decoded; the previous value stays in effect.
    pub unreadable: BTreeMap<ObjectKey, Revision>,
    /// Latest change of each object as received, including deletions.
    latest_changes: BTreeMap<ObjectKey, Arc<Change>>,
    /// Revision of the newest list of each kind. `latest_changes` contains every deletion after
    /// that revision but may lack earlier ones, so changes up to the revision are ignored.
    list_revisions: BTreeMap<&'static str, Revision>,
}

impl ConfigView {
    /// Applies one change and returns whether it took effect. An outdated change is ignored. A
    /// change that cannot be decoded leaves the previous value in effect but is still forwarded to
    /// peers.
    pub fn apply(&mut self, change: &Change) -> bool {
        let key = (change.kind.clone(), change.name.clone());
        if self.applied_revision(&key) >= change.revision {
            return false;
        }
        let name = change.name.as_str();
        let applied = match change.kind.as_str() {
            kind::CONTRACT => update_map(&mut self.contracts, name, change),
            kind::ROUTE => update_map(&mut self.routes, name, change),
            kind::DATABASE => update_map(&mut self.databases, name, change),
            kind::PLACEMENT => update_map(&mut self.placements, name, change),
            kind::HOST => update_map(&mut self.hosts, name, change),
            kind::PRIMARY => update_map(&mut self.primaries, name, change),
            kind::SECRET => update_map(&mut self.secrets, name, change),
            kind::SEATS => match decode_value::<SeatTable>(change) {
                Some(Ok(table)) => {
                    self.seats = table;
                    true
                }
                // The seat table is never deleted, so a change without a readable table keeps the
                // current one.
                _ => false,
            },
            _ => return false,
        };
        if applied {
            self.unreadable.remove(&key);
        } else {
            self.unreadable.insert(key.clone(), change.revision);
        }
        self.latest_changes.insert(key, Arc::new(change.clone()));
        applied
    }

    /// Records that every change up to `revision` has been applied.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Merges the lists of all kinds and returns whether the view changed.
    pub fn merge_lists(&mut self, lists: &[(&'static str, ObjectList)]) -> bool {
        let before = (self.revision, self.loaded);
        let mut changed = false;
        for (kind, list) in lists {
            let names = list.objects.iter().map(|object| object.name.as_str());
            changed |= self.remove_absent(kind, &names.collect(), list.revision);
            for object in &list.objects {
                changed |= self.apply(&Change {
                    kind: object.kind.clone(),
                    name: object.name.clone(),
                    revision: object.version,
                    object: Some(object.clone()),
                });
            }
            self.record_list(kind, list.revision);
        }
        if let Some(revision) = lists.iter().map(|(_, list)| list.revision).min() {
            self.advance(revision);
            self.loaded = true;
        }
        changed || before != (self.revision, self.loaded)
    }

    /// Whether merging a patch would change the view.
    pub fn would_change(&self, patch: &ConfigPatch) -> bool {
        let newer = |change: &Change| {
            let key = (change.kind.clone(), change.name.clone());
            change.revision > self.applied_revision(&key)
        };
        patch.revision > self.revision
            || (patch.after == 0 && !self.loaded)
            || patch.changes.iter().any(newer)
    }

    /// Merges changes from a watch or from a peer.
    pub fn merge(&mut self, patch: &ConfigPatch) -> MergeResult {
        let before = (self.revision, self.loaded);
        let mut changed = false;
        let complete = patch.after == 0 && (patch.revision > self.revision || !self.loaded);
        let common_kinds = || {
            let in_patch = |kind: &&str| patch.kinds.iter().any(|k| k == kind);
            kind::ALL.into_iter().filter(in_patch)
        };
        if complete {
            for kind in common_kinds() {
                let changes = patch.changes.iter().filter(|change| change.kind == kind);
                let names = changes.map(|change| change.name.as_str());
                changed |= self.remove_absent(kind, &names.collect(), patch.revision);
            }
        }
        for change in &patch.changes {
            changed |= self.apply(change);
        }
        if complete {
            for kind in common_kinds() {
                self.record_list(kind, patch.revision);
            }
            self.loaded = true;
        }
        let gap = patch.after > self.revision && patch.revision > self.revision;
        // A sender that lacks some kinds may have skipped their changes, so the view's revision
        // does not advance.
        if !gap && common_kinds().count() == kind::ALL.len() {
            self.advance(patch.revision);
        }
        MergeResult {
            changed: changed || before != (self.revision, self.loaded),
            gap,
        }
    }

    /// Returns the changes that a peer at revision `after` lacks, or `None` until this view has
    /// received a complete configuration.
    pub fn patch(&self, after: Revision) -> Option<ConfigPatch> {
        if !self.loaded {
            return None;
        }
        // Deletions before a list may be unknown, so only a complete patch can convey them.
        let listed = self.list_revisions.values().copied().max().unwrap_or(0);
        let after = if after < listed { 0 } else { after };
        let mut changes: Vec<Change> = self
            .latest_changes
            .values()
            .filter(|change| change.revision > after && (after > 0 || change.object.is_some()))
            .map(|change| Change::clone(change))
            .collect();
        changes.sort_by_key(|change| change.revision);
        Some(ConfigPatch {
            after,
            revision: self.revision,
            kinds: kind::ALL.map(str::to_owned).to_vec(),
            changes,
        })
    }

    /// Returns an object as received, even if its value cannot be decoded.
    pub fn object(&self, kind: &str, name: &str) -> Option<&StoredObject> {
        let key = (kind.to_owned(), name.to_owned());
        self.latest_changes.get(&key)?.object.as_ref()
    }

    /// Returns all objects of a kind as received.
    pub fn objects(&self, kind: &str) -> impl Iterator<Item = &StoredObject> {
        let changes = self.latest_changes.values().filter(move |c| c.kind == kind);
        changes.filter_map(|change| change.object.as_ref())
    }

    /// Returns the version of an object as received, or 0 if it does not exist.
    pub fn version(&self, kind: &str, name: &str) -> Revision {
        self.object(kind, name).map_or(0, |object| object.version)
    }

    /// Whether new work may be sent to a subject such as `endpoint/hire-1`.
    pub fn in_service(&self, subject: &str) -> bool {
        self.placements.get(subject) != Some(&Placement::Out)
    }

    /// Whether new work may be sent to a member: both it and its data centre are in service.
    pub fn member_in_service(&self, member: &Member) -> bool {
        self.in_service(&format!("endpoint/{}", member.name))
            && self.data_centre_in_service(&member.data_centre)
    }

    /// Whether a host may accept new work: both it and its data centre are in service.
    pub fn host_in_service(&self, host: &HostId, data_centre: &DataCentreId) -> bool {
        self.in_service(&format!("host/{host}")) && self.data_centre_in_service(data_centre)
    }

    fn data_centre_in_service(&self, data_centre: &DataCentreId) -> bool {
        self.in_service(&format!("data-centre/{data_centre}"))
    }

    /// Revision up to which every change of an object has been applied or superseded.
    fn applied_revision(&self, key: &ObjectKey) -> Revision {
        let version = self
            .latest_changes
            .get(key)
            .map_or(0, |change| change.revision);
        let listed = self
            .list_revisions
            .get(key.0.as_str())
            .copied()
            .unwrap_or(0);
        version.max(listed).max(self.revision)
    }

    fn record_list(&mut self, kind: &'static str, revision: Revision) {
        let recorded = self.list_revisions.entry(kind).or_default();
        *recorded = revision.max(*recorded);
    }

    /// Removes the objects that did not exist at `revision`: those that `present` does not contain.
    fn remove_absent(&mut self, kind: &str, present: &BTreeSet<&str>, revision: Revision) -> bool {
        let absent: Vec<Change> = self
            .latest_changes
            .values()
            .filter(|change| {
                change.object.is_some()
                    && change.revision < revision
                    && change.kind == kind
                    && !present.contains(change.name.as_str())
            })
            .map(|change| Change {
                kind: change.kind.clone(),
                name: change.name.clone(),
                revision,
                object: None,
            })
            .collect();
        for change in &absent {
            self.apply(change);
        }
        !absent.is_empty()
    }
}

fn update_map<T: DeserializeOwned>(
    map: &mut BTreeMap<String, T>,
    name: &str,
    change: &Change,
) -> bool {
    match decode_value(change) {
        Some(Ok(value)) => {
            map.insert(name.to_owned(), value);
            true
        }
        Some(Err(_)) => false,
        None => {
            map.remove(name);
            true
        }
    }
}

fn decode_value<T: DeserializeOwned>(change: &Change) -> Option<Result<T, serde_json::Error>> {
    change
        .object
        .as_ref()
        .map(|object| serde_json::from_value(object.value.clone()))
}

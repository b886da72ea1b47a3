//! The configuration in force on one host.

use std::collections::BTreeMap;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::ids::RouteId;
use serde::de::DeserializeOwned;

use crate::objects::change::Change;
use crate::objects::contract::Contract;
use crate::objects::database::Database;
use crate::objects::host_status::HostStatus;
use crate::objects::kind;
use crate::objects::placement::Placement;
use crate::objects::primary_hint::PrimaryHint;
use crate::objects::route::Route;
use crate::objects::seat_table::SeatTable;
use crate::objects::token_secret::TokenSecret;

/// Typed copy of the store's objects. Applies only higher versions, so that a late or repeated
/// change from the store or from a peer never reverts a newer one.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    /// Highest revision up to which every change has been applied.
    pub revision: Revision,
    pub contracts: BTreeMap<OrganisationId, Contract>,
    pub routes: BTreeMap<RouteId, Route>,
    pub databases: BTreeMap<DatabaseId, Database>,
    /// By `host/N`, `endpoint/N` or `data-centre/N`.
    pub placements: BTreeMap<String, Placement>,
    pub hosts: BTreeMap<HostId, HostStatus>,
    pub primaries: BTreeMap<DatabaseId, PrimaryHint>,
    pub seats: SeatTable,
    pub secrets: BTreeMap<String, TokenSecret>,
    versions: BTreeMap<(String, String), Revision>,
}

impl ConfigView {
    /// Applies one change; false if it is old or cannot be read. A change that cannot be read
    /// leaves the previous value in force.
    pub fn apply(&mut self, change: &Change) -> bool {
        let key = (change.kind.clone(), change.name.clone());
        if self
            .versions
            .get(&key)
            .is_some_and(|version| *version >= change.revision)
        {
            return false;
        }
        let name = change.name.as_str();
        let applied = match change.kind.as_str() {
            kind::CONTRACT => set(&mut self.contracts, name, change),
            kind::ROUTE => set(&mut self.routes, name, change),
            kind::DATABASE => set(&mut self.databases, name, change),
            kind::PLACEMENT => set(&mut self.placements, name, change),
            kind::HOST => set(&mut self.hosts, name, change),
            kind::PRIMARY => set(&mut self.primaries, name, change),
            kind::SECRET => set(&mut self.secrets, name, change),
            kind::SEATS => match value::<SeatTable>(change) {
                Some(Ok(table)) => {
                    self.seats = table;
                    true
                }
                _ => false,
            },
            _ => false,
        };
        if applied {
            self.versions.insert(key, change.revision);
        }
        applied
    }

    /// Records that every change up to `revision` has been applied.
    pub fn advance(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Version of one object; 0 if none was applied.
    pub fn version(&self, kind: &str, name: &str) -> Revision {
        let key = (kind.to_owned(), name.to_owned());
        self.versions.get(&key).copied().unwrap_or(0)
    }

    /// Whether new work may go to this subject, for instance `endpoint/hire-1`.
    pub fn in_service(&self, subject: &str) -> bool {
        self.placements.get(subject) != Some(&Placement::Out)
    }
}

fn set<T: DeserializeOwned>(map: &mut BTreeMap<String, T>, name: &str, change: &Change) -> bool {
    match value(change) {
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

fn value<T: DeserializeOwned>(change: &Change) -> Option<Result<T, serde_json::Error>> {
    change
        .object
        .as_ref()
        .map(|object| serde_json::from_value(object.value.clone()))
}

//! The store and the promotion service of the model.

use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_gateway::model::host_entry::HostEntry;
use magnoliahatch_gateway::model::object::Content;
use magnoliahatch_gateway::model::object::Listing;
use magnoliahatch_gateway::model::object::Object;
use magnoliahatch_gateway::model::primary_record::PrimaryRecord;
use magnoliahatch_gateway::model::store_revision::Era;
use magnoliahatch_gateway::model::store_revision::in_era;

use crate::world::HOSTS;
use crate::world::SERVICE;
use crate::world::host_name;

/// Content of the store, with revisions that do not include the era.
#[derive(Debug, Clone)]
pub(crate) struct Contents {
    pub(crate) revision: Revision,
    pub(crate) record: (PrimaryRecord, Revision),
    /// The registered process of each host.
    pub(crate) hosts: [Option<(Incarnation, Revision)>; HOSTS],
}

#[derive(Debug, Clone)]
pub(crate) struct Store {
    pub(crate) era: Era,
    pub(crate) now: Contents,
    /// What the store may go back to.
    pub(crate) copy: Contents,
}

impl Store {
    /// Writes the record if it has the revision `expected`. Returns the written object.
    pub(crate) fn put_record(
        &mut self,
        record: &PrimaryRecord,
        expected: Revision,
    ) -> Option<Object> {
        if expected != in_era(self.era, self.now.record.1) {
            return None;
        }
        self.now.revision += 1;
        self.now.record = (record.clone(), self.now.revision);
        Some(self.record_object())
    }

    pub(crate) fn register(&mut self, host: usize, incarnation: Incarnation) -> Object {
        self.now.revision += 1;
        self.now.hosts[host] = Some((incarnation, self.now.revision));
        self.host_object(host).expect("just registered")
    }

    pub(crate) fn restore(&mut self) {
        self.now = self.copy.clone();
        self.era += 1;
    }

    pub(crate) fn list_records(&self) -> Listing {
        Listing {
            objects: vec![self.record_object()],
            revision: in_era(self.era, self.now.revision),
        }
    }

    pub(crate) fn list_hosts(&self) -> Listing {
        Listing {
            objects: (0..HOSTS).filter_map(|h| self.host_object(h)).collect(),
            revision: in_era(self.era, self.now.revision),
        }
    }

    fn record_object(&self) -> Object {
        let (record, revision) = &self.now.record;
        Object {
            name: SERVICE.to_owned(),
            revision: in_era(self.era, *revision),
            content: Some(Content::Primary(record.clone())),
        }
    }

    fn host_object(&self, host: usize) -> Option<Object> {
        let (incarnation, revision) = self.now.hosts[host]?;
        Some(Object {
            name: host_name(host),
            revision: in_era(self.era, revision),
            content: Some(Content::Host(HostEntry {
                mesh: ([127, 0, 0, 1], 1).into(),
                data_centre: "a".to_owned(),
                incarnation,
                capacity: 1,
                leaving: false,
            })),
        })
    }
}

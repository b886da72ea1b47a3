//! The stored objects and their change history.

use std::collections::BTreeMap;

use magnoliahatch_client::objects::change::Change;
use magnoliahatch_client::objects::change_list::ChangeList;
use magnoliahatch_client::objects::object_list::ObjectList;
use magnoliahatch_client::objects::stored_object::StoredObject;
use magnoliahatch_client::objects::write_request::WriteRequest;
use magnoliahatch_core::ids::Revision;

use crate::store::call_error::CallError;

/// The stored objects and every change since the start of the process.
#[derive(Debug, Default)]
pub struct Objects {
    current: BTreeMap<(String, String), StoredObject>,
    /// All changes in order; the change with revision `r` is at index `r - 1`.
    history: Vec<Change>,
}

impl Objects {
    /// Returns the store-wide revision, which is the number of changes so far.
    pub fn revision(&self) -> Revision {
        self.history.len() as Revision
    }

    /// Reads one object.
    pub fn get(&self, kind: &str, name: &str) -> Result<StoredObject, CallError> {
        self.current
            .get(&key(kind, name))
            .cloned()
            .ok_or_else(CallError::not_found)
    }

    /// Lists all objects of a kind.
    pub fn list(&self, kind: &str) -> ObjectList {
        let objects = self.current.values().filter(|object| object.kind == kind);
        ObjectList {
            revision: self.revision(),
            objects: objects.cloned().collect(),
        }
    }

    /// Writes an object if its current version is `expected`. Version 0 requires that the object does
    /// not exist.
    pub fn put(
        &mut self,
        kind: &str,
        name: &str,
        expected: Revision,
        write_request: WriteRequest,
    ) -> Result<StoredObject, CallError> {
        self.check_version(kind, name, expected)?;
        let object = StoredObject {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version: self.revision() + 1,
            change_id: write_request.change_id,
            value: write_request.value,
        };
        self.current.insert(key(kind, name), object.clone());
        self.record(kind, name, Some(object.clone()));
        Ok(object)
    }

    /// Deletes an object if its current version is `expected`.
    pub fn delete(&mut self, kind: &str, name: &str, expected: Revision) -> Result<(), CallError> {
        self.get(kind, name)?;
        self.check_version(kind, name, expected)?;
        self.current.remove(&key(kind, name));
        self.record(kind, name, None);
        Ok(())
    }

    /// Returns the changes after a revision, in order.
    pub fn changes(&self, after: Revision) -> ChangeList {
        let start = usize::try_from(after).unwrap_or(usize::MAX);
        ChangeList {
            revision: self.revision(),
            changes: self.history.get(start..).unwrap_or_default().to_vec(),
        }
    }

    fn check_version(&self, kind: &str, name: &str, expected: Revision) -> Result<(), CallError> {
        let current = self
            .current
            .get(&key(kind, name))
            .map_or(0, |object| object.version);
        if current == expected {
            Ok(())
        } else {
            Err(CallError::conflict(current))
        }
    }

    fn record(&mut self, kind: &str, name: &str, object: Option<StoredObject>) {
        let revision = self.revision() + 1;
        self.history.push(Change {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision,
            object,
        });
    }
}

fn key(kind: &str, name: &str) -> (String, String) {
    (kind.to_owned(), name.to_owned())
}

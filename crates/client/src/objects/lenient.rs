//! Decoding of lists that may contain objects of other writers. An object that cannot be decoded
//! must not make the others unreadable.

use magnoliahatch_core::ids::ChangeId;
use magnoliahatch_core::ids::Revision;
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;

use crate::objects::change::Change;
use crate::objects::change_list::ChangeList;
use crate::objects::object_list::ObjectList;
use crate::objects::stored_object::StoredObject;

#[derive(Debug, Deserialize)]
struct RawObjectList {
    revision: Revision,
    objects: Vec<Box<RawValue>>,
}

#[derive(Debug, Deserialize)]
struct RawChangeList {
    revision: Revision,
    changes: Vec<RawChange>,
}

#[derive(Debug, Deserialize)]
struct RawChange {
    kind: String,
    name: String,
    revision: Revision,
    object: Option<Box<RawValue>>,
}

/// An object without its value.
#[derive(Debug, Deserialize)]
struct Header {
    kind: String,
    name: String,
    version: Revision,
    #[serde(default)]
    change_id: ChangeId,
}

/// Decodes a list of objects. A value that cannot be represented becomes null, which the
/// configuration view treats as unreadable; an object without a readable name is left out.
pub fn object_list(text: &str) -> Result<ObjectList, serde_json::Error> {
    let list: RawObjectList = serde_json::from_str(text)?;
    let objects = list.objects.iter();
    Ok(ObjectList {
        revision: list.revision,
        objects: objects.filter_map(|raw| object(raw)).collect(),
    })
}

/// Decodes a list of changes in the same way.
pub fn change_list(text: &str) -> Result<ChangeList, serde_json::Error> {
    let list: RawChangeList = serde_json::from_str(text)?;
    let changes = list.changes.into_iter().map(|change| Change {
        object: change.object.and_then(|raw| {
            object(&raw).or_else(|| {
                Some(StoredObject {
                    kind: change.kind.clone(),
                    name: change.name.clone(),
                    version: change.revision,
                    change_id: ChangeId::new(),
                    value: Value::Null,
                })
            })
        }),
        kind: change.kind,
        name: change.name,
        revision: change.revision,
    });
    Ok(ChangeList {
        revision: list.revision,
        changes: changes.collect(),
    })
}

fn object(raw: &RawValue) -> Option<StoredObject> {
    let error = match serde_json::from_str(raw.get()) {
        Ok(object) => return Some(object),
        Err(error) => error,
    };
    let header: Option<Header> = serde_json::from_str(raw.get()).ok();
    let name = header.as_ref().map_or("", |h| h.name.as_str());
    tracing::warn!(event = 107, name, %error, "ignoring the value of an object");
    header.map(|header| StoredObject {
        kind: header.kind,
        name: header.name,
        version: header.version,
        change_id: header.change_id,
        value: Value::Null,
    })
}

//! A change of one object and the rules that it would break.

use magnoliahatch_client::change_id;
use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::change::Change;
use magnoliahatch_client::objects::stored_object::StoredObject;
use magnoliahatch_client::objects::write_request::WriteRequest;
use magnoliahatch_client::store_error::StoreError;
use magnoliahatch_core::ids::Revision;
use serde::Serialize;
use serde_json::Value;

use crate::admin::error::AdminError;
use crate::admin::error::RuleError;
use crate::admin::rules;

/// A change of one object: a new value, or `None` for a deletion.
#[derive(Debug, Clone)]
pub struct Edit {
    pub kind: &'static str,
    pub name: String,
    /// Version that the object must currently have; 0 if it must not exist.
    pub expected: Revision,
    pub value: Option<Value>,
}

impl Edit {
    /// Creates or replaces an object.
    pub fn put<T: Serialize>(
        kind: &'static str,
        name: String,
        expected: Revision,
        value: &T,
    ) -> Result<Self, AdminError> {
        let value = serde_json::to_value(value).map_err(StoreError::Format)?;
        Ok(Self {
            kind,
            name,
            expected,
            value: Some(value),
        })
    }

    /// Deletes an object.
    pub fn delete(kind: &'static str, name: String, expected: Revision) -> Self {
        Self {
            kind,
            name,
            expected,
            value: None,
        }
    }

    /// Request body of the write, with a new change id.
    pub fn write_request(value: &Value) -> WriteRequest {
        WriteRequest {
            change_id: change_id::generate(),
            value: value.clone(),
        }
    }

    /// A rule that this change would break and that `before` meets.
    pub fn violation(&self, before: &ConfigView) -> Option<RuleError> {
        let after = view_with(before, self.kind, &self.name, self.value.as_ref());
        first_new_violation(&after, before)
    }

    /// A rule that this change, written at `version`, breaks in combination with concurrent changes
    /// written after `before` was read, each of which may have passed [`Self::violation`] alone.
    /// Only changes before `version` are considered, so that of two conflicting changes just the
    /// later one is rejected.
    pub fn concurrent_violation(
        &self,
        before: &ConfigView,
        since: &[Change],
        version: Revision,
    ) -> Option<RuleError> {
        let mut base = before.clone();
        for change in since.iter().filter(|change| change.revision < version) {
            base.apply(change);
        }
        self.violation(&base)
    }

    /// Revision at which the object was deleted, if `since` contains its deletion.
    pub fn deletion_revision(&self, since: &[Change]) -> Option<Revision> {
        since
            .iter()
            .find(|c| c.kind == self.kind && c.name == self.name && c.object.is_none())
            .map(|change| change.revision)
    }
}

fn first_new_violation(view: &ConfigView, base: &ConfigView) -> Option<RuleError> {
    let known = rules::violations(base);
    rules::violations(view)
        .into_iter()
        .find(|error| !known.contains(error))
}

/// Copy of the view in which one object has another value.
fn view_with(view: &ConfigView, kind: &str, name: &str, value: Option<&Value>) -> ConfigView {
    let object = value.map(|value| StoredObject {
        kind: kind.to_owned(),
        name: name.to_owned(),
        version: Revision::MAX,
        change_id: String::new(),
        value: value.clone(),
    });
    let mut view = view.clone();
    view.apply(&Change {
        kind: kind.to_owned(),
        name: name.to_owned(),
        revision: Revision::MAX,
        object,
    });
    view
}

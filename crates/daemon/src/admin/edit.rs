//! One change of one object.

use magnoliahatch_client::change_id;
use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::change::Change;
use magnoliahatch_client::objects::draft::Draft;
use magnoliahatch_client::objects::stored_object::StoredObject;
use magnoliahatch_client::store_error::StoreError;
use magnoliahatch_core::ids::Revision;
use serde::Serialize;
use serde_json::Value;

use crate::admin::error::AdminError;
use crate::admin::error::RuleError;
use crate::admin::rules;

/// One change of one object: a new value, or none for a deletion.
#[derive(Debug, Clone)]
pub struct Edit {
    pub kind: &'static str,
    pub name: String,
    /// Version that the object must have; 0 means that it must not exist.
    pub expected: Revision,
    pub value: Option<Value>,
}

impl Edit {
    /// Creation or change of an object.
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

    /// Deletion of an object.
    pub fn delete(kind: &'static str, name: String, expected: Revision) -> Self {
        Self {
            kind,
            name,
            expected,
            value: None,
        }
    }

    /// Body of the write, with a new change id.
    pub fn draft(value: &Value) -> Draft {
        Draft {
            change_id: change_id::draw(),
            value: value.clone(),
        }
    }

    /// The rule that this change would break and that holds without it.
    pub fn breaks(&self, before: &ConfigView) -> Option<RuleError> {
        let after = with(before, self.kind, &self.name, self.value.as_ref());
        first_new(&after, before)
    }

    /// The rule that this change, made at `version`, broke together with the changes of others that
    /// came after `before` and before it. Each of them may have passed [`Self::breaks`]. Only the
    /// later of two changes is found to break a rule, so that the earlier one stays.
    pub fn broke(
        &self,
        before: &ConfigView,
        since: &[Change],
        version: Revision,
    ) -> Option<RuleError> {
        let mut base = before.clone();
        for change in since.iter().filter(|change| change.revision < version) {
            base.apply(change);
        }
        self.breaks(&base)
    }

    /// Revision at which the object was deleted.
    pub fn deletion(&self, since: &[Change]) -> Option<Revision> {
        since
            .iter()
            .find(|c| c.kind == self.kind && c.name == self.name && c.object.is_none())
            .map(|change| change.revision)
    }
}

fn first_new(view: &ConfigView, base: &ConfigView) -> Option<RuleError> {
    let known = rules::broken(base);
    rules::broken(view)
        .into_iter()
        .find(|error| !known.contains(error))
}

/// A copy of the view in which one object has another value.
fn with(view: &ConfigView, kind: &str, name: &str, value: Option<&Value>) -> ConfigView {
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

//! Builds configurations for tests.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::change::Change;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::stored_object::StoredObject;
use serde_json::Value;
use serde_json::json;

/// A configuration change that creates or replaces an object.
pub fn change(kind: &str, name: &str, revision: u64, value: Value) -> Change {
    Change {
        kind: kind.to_owned(),
        name: name.to_owned(),
        revision,
        object: Some(StoredObject {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version: revision,
            change_id: String::new(),
            value,
        }),
    }
}

/// A configuration with two organisations, one database with one member, and hosts with the given
/// control addresses.
pub fn view(
    rate: f64,
    burst: f64,
    connections: u32,
    hosts: &BTreeMap<String, SocketAddr>,
) -> ConfigView {
    let mut view = ConfigView::default();
    let contract = json!({ "rate": rate, "burst": burst, "max_age_ms": 0 });
    let member = json!({ "name": "m1", "address": "127.0.0.1:1", "data_centre": "dc" });
    let database = json!({ "members": [member], "connections": connections, "slots": 2 });
    let mut changes = vec![
        change(kind::CONTRACT, "org", 1, contract.clone()),
        change(kind::CONTRACT, "other", 1, contract),
        change(kind::DATABASE, "db", 1, database),
    ];
    for (host, control) in hosts {
        let status = json!({
            "incarnation": 1, "data_centre": "dc", "sql": "127.0.0.1:1",
            "admin": "127.0.0.1:1", "control": control,
        });
        changes.push(change(kind::HOST, host, 1, status));
    }
    for change in changes {
        assert!(view.apply(&change), "{change:?}");
    }
    view.advance(1);
    view
}

//! Commands on databases.

use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_client::admin::versioned::Versioned;
use magnoliahatch_client::objects::database::Database;

use crate::commands::Resource;
use crate::commands::or_dash;
use crate::error::CtlError;
use crate::report::Report;
use crate::request::Action;
use crate::request::DatabaseFields;

const RESOURCE: Resource<DatabaseFields, Database, Database> = Resource {
    path: "/databases",
    header: &[
        "DATABASE",
        "VERSION",
        "CONNECTIONS",
        "SLOTS",
        "MEMBER RATE",
        "MEMBERS",
    ],
    row,
    body,
};

pub(super) async fn run(
    client: &AdminClient,
    action: &Action<DatabaseFields>,
) -> Result<Report, CtlError> {
    RESOURCE.run(client, action).await
}

fn row(found: &Versioned<Database>) -> Vec<String> {
    let database = &found.value;
    let members: Vec<String> = database
        .members
        .iter()
        .map(|m| format!("{}@{} ({})", m.name, m.address, m.data_centre))
        .collect();
    vec![
        found.name.clone(),
        found.version.to_string(),
        database.connections.to_string(),
        database.slots.to_string(),
        or_dash(database.member_rate.as_ref()),
        members.join(", "),
    ]
}

fn body(fields: &DatabaseFields, current: Option<Database>) -> Database {
    let base = current.unwrap_or(Database {
        members: Vec::new(),
        connections: 0,
        slots: 0,
        member_rate: None,
    });
    let members = if fields.members.is_empty() {
        base.members
    } else {
        fields.members.clone()
    };
    Database {
        members,
        connections: fields.connections.unwrap_or(base.connections),
        slots: fields.slots.unwrap_or(base.slots),
        member_rate: fields.member_rate.or(base.member_rate),
    }
}

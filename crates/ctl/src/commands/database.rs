//! Commands on databases.

use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_client::admin::versioned::Versioned;
use magnoliahatch_client::objects::database::Database;

use crate::commands::Area;
use crate::commands::optional;
use crate::error::CtlError;
use crate::report::Report;
use crate::request::DatabaseFields;
use crate::request::Verb;

const AREA: Area<DatabaseFields, Database, Database> = Area {
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
    verb: &Verb<DatabaseFields>,
) -> Result<Report, CtlError> {
    AREA.run(client, verb).await
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
        optional(database.member_rate.as_ref()),
        members.join(", "),
    ]
}

fn body(fields: &DatabaseFields, found: Option<Database>) -> Database {
    let base = found.unwrap_or(Database {
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

//! Commands that take hosts, endpoints and data centres out of service and return them.

use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_client::admin::placement_body::PlacementBody;
use magnoliahatch_client::admin::subject::Subject;
use magnoliahatch_client::admin::versioned::Versioned;
use magnoliahatch_client::objects::placement::Placement;
use magnoliahatch_core::ids::Revision;

use crate::commands::encode_segment;
use crate::error::CtlError;
use crate::report::Report;

pub(super) async fn change(
    client: &AdminClient,
    subject: Subject,
    name: &str,
    state: Placement,
    version: Option<Revision>,
) -> Result<Report, CtlError> {
    let path = format!("/placements/{subject}/{}", encode_segment(name));
    let body = PlacementBody { state };
    let accepted: Accepted = client.put(&path, version, &body).await?;
    Report::accepted(&accepted)
}

pub(super) async fn show(client: &AdminClient, subject: Subject) -> Result<Report, CtlError> {
    let mut list: Vec<Versioned<Placement>> = client.get("/placements").await?;
    let prefix = format!("{subject}/");
    list.retain(|found| found.name.starts_with(&prefix));
    let row = |found: &Versioned<Placement>| {
        let state = match found.value {
            Placement::In => "in",
            Placement::Out => "out",
        };
        vec![
            found.name[prefix.len()..].to_owned(),
            found.version.to_string(),
            state.to_owned(),
        ]
    };
    let rows = list.iter().map(row).collect();
    Report::new(&["NAME", "VERSION", "STATE"], rows, &list)
}

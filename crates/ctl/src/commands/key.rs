//! Commands on keys.

use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::admin::NewKey;
use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_client::admin::contract_report::ContractReport;
use magnoliahatch_client::admin::versioned::Versioned;

use crate::commands::encode_segment;
use crate::error::CtlError;
use crate::report::Report;

pub(super) async fn create(client: &AdminClient, organisation: &str) -> Result<Report, CtlError> {
    let path = format!("/contracts/{}/keys", encode_segment(organisation));
    let created: NewKey = client.post(&path, None::<&()>).await?;
    let row = vec![
        created.id.clone(),
        created.version.to_string(),
        created.key.clone(),
    ];
    let mut report = Report::new(&["ID", "ACCEPTED VERSION", "KEY"], vec![row], &created)?;
    report.accepted = Some(created.version);
    Ok(report)
}

pub(super) async fn show(client: &AdminClient, organisation: &str) -> Result<Report, CtlError> {
    let path = format!("/contracts/{}", encode_segment(organisation));
    let found: Versioned<ContractReport> = client.get(&path).await?;
    let keys = found.value.keys;
    let rows = keys.iter().map(|id| vec![id.clone()]).collect();
    Report::new(&["ID"], rows, &keys)
}

pub(super) async fn withdraw(
    client: &AdminClient,
    organisation: &str,
    id: &str,
) -> Result<Report, CtlError> {
    let path = format!(
        "/contracts/{}/keys/{}",
        encode_segment(organisation),
        encode_segment(id)
    );
    let accepted: Accepted = client.delete(&path, None).await?;
    Report::accepted(&accepted)
}

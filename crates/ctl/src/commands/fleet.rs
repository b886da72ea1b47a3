//! Commands on the whole installation.

use magnoliahatch_client::admin::Accepted;
use magnoliahatch_client::admin::FleetStatus;
use magnoliahatch_client::admin::client::AdminClient;
use magnoliahatch_client::admin::switchover_request::SwitchoverRequest;
use magnoliahatch_client::admin::switchover_result::SwitchoverResult;
use magnoliahatch_core::ids::MemberId;

use crate::commands::encode_segment;
use crate::error::CtlError;
use crate::report::Report;

pub(super) async fn switchover(
    client: &AdminClient,
    database: &str,
    member: Option<MemberId>,
) -> Result<Report, CtlError> {
    let path = format!("/databases/{}/switchover", encode_segment(database));
    let body = SwitchoverRequest { member };
    let result: SwitchoverResult = client.post(&path, Some(&body)).await?;
    let row = vec![result.member.clone(), result.term.to_string()];
    Report::new(&["PRIMARY", "TERM"], vec![row], &result)
}

pub(super) async fn create_secret(client: &AdminClient) -> Result<Report, CtlError> {
    let accepted: Accepted = client.post("/secrets/token", None::<&()>).await?;
    Report::accepted(&accepted)
}

pub(super) async fn status(client: &AdminClient) -> Result<Report, CtlError> {
    let status: FleetStatus = client.get("/status").await?;
    let yes_or_no = |flag: bool| if flag { "yes" } else { "no" }.to_owned();
    let hosts = status.hosts.iter().map(|(name, host)| {
        vec![
            name.clone(),
            host.revision.to_string(),
            yes_or_no(host.revision >= status.revision),
            yes_or_no(host.has_lease),
            yes_or_no(host.draining),
        ]
    });
    let leaving = status.leaving.iter().map(|(subject, leaving)| {
        let state = if leaving.done {
            "done".to_owned()
        } else {
            let waiting = leaving.waiting.join(", ");
            format!("{} left, waiting for {waiting}", leaving.remaining)
        };
        let empty = String::new;
        vec![subject.clone(), empty(), empty(), empty(), state]
    });
    let rows = hosts.chain(leaving).collect();
    let header = ["HOST", "REVISION", "CURRENT", "VOUCHED", "DRAINING"];
    Report::new(&header, rows, &status)
}

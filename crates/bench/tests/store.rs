//! Tests that the store stand-in behaves as section 4 of the design page specifies, with and without
//! simulated faults.

use std::process::Command;
use std::process::Stdio;
use std::time::Duration;

use magnoliahatch_bench::store::counts::CallCounts;
use magnoliahatch_bench::store::fault::OutageAnswer;
use magnoliahatch_bench::store::fault::StoreFault;
use magnoliahatch_bench::store::server::StoreServer;
use magnoliahatch_bench::store::settings::StoreSettings;
use magnoliahatch_client::objects::write_request::WriteRequest;
use magnoliahatch_client::ready::Ready;
use magnoliahatch_client::settings;
use magnoliahatch_client::store::StoreClient;
use magnoliahatch_client::store_error::StoreError;
use serde_json::json;

/// How long a watch may wait for a change.
const WATCH_WAIT: Duration = Duration::from_secs(10);

fn start_store() -> (StoreServer, StoreClient) {
    let text = r#"{"listen": "127.0.0.1:0",
        "objects": [{"kind": "route", "name": "a", "value": 1}]}"#;
    let settings: StoreSettings = settings::parse("store.json".as_ref(), text).unwrap();
    let server = StoreServer::bind(&settings).unwrap();
    let client = StoreClient::open(&server.url()).unwrap();
    (server, client)
}

fn write_request(id: &str, value: u32) -> WriteRequest {
    WriteRequest {
        change_id: id.to_owned(),
        value: json!(value),
    }
}

#[tokio::test]
async fn update_at_an_old_version_reports_the_current_one() {
    let (_server, client) = start_store();
    let second = client
        .put("route", "a", 1, &write_request("x", 2))
        .await
        .unwrap();
    assert_eq!(second.version, 2);
    let error = client
        .put("route", "a", 1, &write_request("y", 3))
        .await
        .unwrap_err();
    assert!(matches!(error, StoreError::Conflict { current: 2, .. }));
    let error = client
        .put("route", "b", 9, &write_request("y", 3))
        .await
        .unwrap_err();
    assert!(matches!(error, StoreError::Conflict { current: 0, .. }));
    let error = client.delete("route", "a", 1).await.unwrap_err();
    assert!(matches!(error, StoreError::Conflict { current: 2, .. }));
    let error = client.delete("route", "b", 0).await.unwrap_err();
    assert!(matches!(error, StoreError::NotFound { .. }));
    assert_eq!(client.get("route", "a").await.unwrap().value, json!(2));
}

#[tokio::test]
async fn watch_wakes_on_a_change_and_marks_deletions() {
    let (server, client) = start_store();
    let waiting = {
        let client = client.clone();
        tokio::spawn(async move { client.watch(1, WATCH_WAIT).await })
    };
    while server.counts().watches == 0 {
        tokio::task::yield_now().await;
    }
    client
        .put("placement", "host/a", 0, &write_request("x", 2))
        .await
        .unwrap();
    let seen = waiting.await.unwrap().unwrap();
    assert_eq!(
        (seen.revision, seen.changes[0].name.as_str()),
        (2, "host/a")
    );
    client.delete("placement", "host/a", 2).await.unwrap();
    let seen = client.watch(2, WATCH_WAIT).await.unwrap();
    assert_eq!(seen.changes.len(), 1);
    assert_eq!(
        (seen.changes[0].revision, &seen.changes[0].object),
        (3, &None)
    );
    assert!(client.list("placement").await.unwrap().objects.is_empty());
    let empty = client.watch(3, Duration::ZERO).await.unwrap();
    assert!(empty.changes.is_empty());
    assert_eq!(
        server.counts(),
        CallCounts {
            reads: 1,
            writes: 2,
            watches: 3
        }
    );
}

#[tokio::test]
async fn write_with_a_lost_answer_takes_effect_and_client_reports_success() {
    let (server, client) = start_store();
    server.set_fault(StoreFault::LostAnswer);
    let put = client.put("route", "a", 1, &write_request("mine", 2)).await;
    assert_eq!(put.unwrap().change_id, "mine");
    client.delete("route", "a", 2).await.unwrap();
    assert!(client.get("route", "a").await.is_err());
}

#[tokio::test]
async fn outage_ends_a_waiting_watch_and_fails_all_calls() {
    let (server, client) = start_store();
    let waiting = {
        let client = client.clone();
        tokio::spawn(async move { client.watch(1, WATCH_WAIT).await })
    };
    while server.counts().watches == 0 {
        tokio::task::yield_now().await;
    }
    server.set_fault(StoreFault::Down {
        answer: OutageAnswer::Refuse,
    });
    assert!(waiting.await.unwrap().is_err());
    assert!(client.get("route", "a").await.is_err());
    assert!(
        client
            .put("route", "a", 1, &write_request("x", 2))
            .await
            .is_err()
    );
    server.set_fault(StoreFault::Down {
        answer: OutageAnswer::Silent,
    });
    let error = client.get("route", "a").await.unwrap_err();
    assert!(matches!(error, StoreError::Unavailable(_)));
    server.set_fault(StoreFault::Slow { delay_ms: 1 });
    assert_eq!(client.get("route", "a").await.unwrap().version, 1);
    server.close().await;
}

#[tokio::test]
async fn process_reports_its_port_and_stops_on_sigterm() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("store.json");
    std::fs::write(&file, "{ // any port\n \"listen\": \"127.0.0.1:0\" }").unwrap();
    let mut child = Command::new(env!("CARGO_BIN_EXE_standin-store"))
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    let mut out = std::io::BufReader::new(child.stdout.take().unwrap());
    std::io::BufRead::read_line(&mut out, &mut line).unwrap();
    let ready: Ready = serde_json::from_str(&line).unwrap();
    let base = format!("http://{}", ready.listen["store"]);
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let fault = |body: serde_json::Value| http.post(format!("{base}/fault")).json(&body).send();
    let down = json!({"mode": "down", "answer": "silent"});
    assert!(fault(down).await.unwrap().status().is_success());
    assert!(fault(json!({"mode": "up"})).await.unwrap().status() == 400);
    let mode = json!({"mode": "none"});
    assert!(fault(mode).await.unwrap().status().is_success());
    let counts = http.get(format!("{base}/counts")).send().await.unwrap();
    assert_eq!(
        counts.json::<CallCounts>().await.unwrap(),
        CallCounts::default()
    );
    // `kill` sends SIGTERM, to the child started above only.
    let term = Command::new("kill").arg(child.id().to_string()).status();
    assert!(term.unwrap().success());
    assert_eq!(child.wait().unwrap().code(), Some(0));
}

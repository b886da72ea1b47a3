//! Settings, planned stop and placements.

use std::process::Command;

use magnoliahatch_client::exit_code;
use serde_json::json;

use crate::support::World;
use crate::support::binary;
use crate::support::eventually;
use crate::support::not_run;
use crate::support::open;
use crate::support::refusal;
use crate::support::value;

#[test]
fn check_names_line_and_field_of_a_fault() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("daemon.json");
    std::fs::write(&path, "{\n // host\n \"host\": \"h1\",\n \"hots\": 1}").unwrap();
    let mut command = Command::new(binary("magnoliahatchd"));
    let output = command.arg("--check").arg(&path).output().unwrap();
    assert_eq!(output.status.code(), Some(exit_code::USAGE.into()));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("daemon.json:4: field `hots`"), "{text}");
}

#[tokio::test]
async fn planned_stop_lets_the_open_transaction_finish() {
    let mut world = World::start().await;
    let busy = world.connect("ash").await;
    let idle = world.connect("ash").await;
    busy.batch_execute("BEGIN; INSERT INTO t VALUES (1, 'a')")
        .await
        .unwrap();
    world.daemon.terminate();
    eventually("the idle session ends", async || idle.is_closed()).await;
    assert!(open(&world.config("ash")).await.is_err());
    busy.batch_execute("INSERT INTO t VALUES (2, 'b')")
        .await
        .unwrap();
    busy.batch_execute("COMMIT").await.unwrap();
    eventually("the last session ends", async || busy.is_closed()).await;
    assert_eq!(world.daemon.exit_code().await, Some(exit_code::OK.into()));
    let member = world.members[0].control.unwrap();
    assert_eq!(crate::support::control(member, "t").await, "1");
}

#[tokio::test]
async fn planned_stop_lets_a_running_statement_finish() {
    let mut world = World::start().await;
    let busy = world.connect("ash").await;
    world.control(0, "platform_set_service(300000)").await;
    let statement = tokio::spawn(async move {
        busy.simple_query("INSERT INTO t VALUES (1, 'a')")
            .await
            .map(drop)
    });
    eventually("the member executes the statement", async || {
        let recording = world.members[0].recording();
        recording
            .statements
            .iter()
            .any(|s| s.sql.contains("INSERT"))
    })
    .await;
    world.daemon.terminate();
    statement.await.unwrap().unwrap();
    assert_eq!(world.daemon.exit_code().await, Some(exit_code::OK.into()));
}

#[tokio::test]
async fn host_out_of_service_refuses_and_replica_out_of_service_serves_nothing() {
    let world = World::start().await;
    let client = world.connect("ash").await;
    world.put("placement", "endpoint/m2", json!("out")).await;
    client
        .batch_execute("INSERT INTO t VALUES (1, 'a')")
        .await
        .unwrap();
    let at = |member: usize| {
        let recording = world.members[member].recording();
        recording
            .statements
            .iter()
            .filter(|s| s.sql.contains("note = 'm'"))
            .count()
    };
    eventually("only the other replica serves reads", async || {
        let before = (at(1), at(2));
        for _ in 0..20 {
            value(&client, "SELECT count(*) FROM t WHERE note = 'm'").await;
        }
        at(1) == before.0 && at(2) > before.1
    })
    .await;
    world.put("placement", "host/h1", json!("out")).await;
    eventually("the session ends", async || client.is_closed()).await;
    assert_eq!(refusal(open(&world.config("ash")).await), not_run("57P03"));
    world.put("placement", "host/h1", json!("in")).await;
    eventually("the host serves again", async || {
        open(&world.config("ash")).await.is_ok()
    })
    .await;
}

//! Guards against a `standin-member` process that a harness cannot start, kill and restart.

use std::io::BufRead;
use std::io::BufReader;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use magnoliahatch_client::exit_code;
use magnoliahatch_client::ready::Ready;
use tokio_postgres::NoTls;

const BINARY: &str = env!("CARGO_BIN_EXE_standin-member");

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn start(settings: &Path) -> (Process, Ready) {
    let mut child = Command::new(BINARY)
        .arg(settings)
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap())
        .read_line(&mut line)
        .unwrap();
    (Process(child), serde_json::from_str(&line).unwrap())
}

async fn connect(ready: &Ready) -> tokio_postgres::Client {
    let mut config = tokio_postgres::Config::new();
    config
        .host("127.0.0.1")
        .port(ready.listen["sql"].port())
        .user("proxy");
    let (client, connection) = config.connect(NoTls).await.unwrap();
    tokio::spawn(connection);
    client
}

#[tokio::test]
async fn killed_process_keeps_committed_rows_and_sigterm_ends_it_with_0() {
    let dir = tempfile::tempdir().unwrap();
    let settings = dir.path().join("m1.json");
    let data = dir.path().join("data");
    std::fs::write(
        &settings,
        format!(
            "{{ // test\n \"member\": \"m1\", \"start\": \"primary\", \"data_dir\": {data:?},
               \"listen\": {{\"sql\": \"127.0.0.1:0\"}} }}"
        ),
    )
    .unwrap();
    let (process, ready) = start(&settings);
    let client = connect(&ready).await;
    client
        .batch_execute("CREATE TABLE t (a INT); INSERT INTO t VALUES (1)")
        .await
        .unwrap();
    drop(process);
    let (mut process, ready) = start(&settings);
    let client = connect(&ready).await;
    let row = client.query_one("SELECT a FROM t", &[]).await.unwrap();
    assert_eq!(row.get::<_, i32>(0), 1);
    let pid = process.0.id().to_string();
    assert!(Command::new("kill").arg(pid).status().unwrap().success());
    assert_eq!(process.0.wait().unwrap().code(), Some(exit_code::OK.into()));
}

#[test]
fn check_refuses_an_unknown_field_with_its_line() {
    let dir = tempfile::tempdir().unwrap();
    let settings = dir.path().join("m1.json");
    std::fs::write(&settings, "{\n\"member\": \"m1\",\n\"slot\": 2}").unwrap();
    let output = Command::new(BINARY)
        .arg("--check")
        .arg(&settings)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(exit_code::USAGE.into()));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(text.contains("m1.json:3: field `slot`"), "{text}");
}

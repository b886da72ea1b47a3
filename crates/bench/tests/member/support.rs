//! Starts members and calls their verbs.

use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use magnoliahatch_bench::member::server;
use magnoliahatch_bench::member::server::Member;
use magnoliahatch_bench::member::settings::MemberSettings;
use magnoliahatch_client::settings;
use tokio::time::timeout;
use tokio_postgres::Client;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

/// Fails a test that waits for something that does not happen.
const LIMIT: Duration = Duration::from_secs(10);

pub(crate) fn parse(text: &str) -> MemberSettings {
    settings::parse(Path::new("member.json"), text).expect("valid settings")
}

/// Starts a member; `start` and `more` are JSON.
pub(crate) async fn start(name: &str, start: &str, more: &str) -> Member {
    let text = format!(
        "{{\"member\": \"{name}\", \"start\": {start}, {more}
          \"listen\": {{\"sql\": \"127.0.0.1:0\", \"control\": \"127.0.0.1:0\"}}}}"
    );
    server::spawn(parse(&text)).await.expect("member starts")
}

pub(crate) async fn primary() -> Member {
    start("m1", "\"primary\"", "\"connect_ms\": 0,").await
}

pub(crate) async fn replica(name: &str, of: &Member) -> Member {
    let follow = format!("{{\"follow\": \"{}\"}}", of.sql);
    start(name, &follow, "\"connect_ms\": 0,").await
}

pub(crate) async fn try_connect(
    address: SocketAddr,
    user: &str,
) -> Result<Client, tokio_postgres::Error> {
    let mut config = tokio_postgres::Config::new();
    config.host("127.0.0.1").port(address.port()).user(user);
    let (client, connection) = config.connect(NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

pub(crate) async fn connect(address: SocketAddr, user: &str) -> Client {
    try_connect(address, user).await.expect("connects")
}

/// First row of a verb's answer, as text.
pub(crate) async fn verb(client: &Client, call: &str) -> Vec<String> {
    let sql = format!("SELECT * FROM platform_{call}");
    let messages = client.simple_query(&sql).await.expect("verb answers");
    for message in messages {
        if let SimpleQueryMessage::Row(row) = message {
            let text = |at| row.get(at).unwrap_or_default().to_owned();
            return (0..row.len()).map(text).collect();
        }
    }
    panic!("{call} returned no row");
}

/// SQLSTATE of a failure.
pub(crate) fn state<T>(result: Result<T, tokio_postgres::Error>) -> String {
    let error = result.err().expect("an error");
    let code = error.code().map(|state| state.code().to_owned());
    code.unwrap_or_else(|| panic!("not a server error: {error:?}"))
}

/// Repeats a check until it holds.
pub(crate) async fn eventually<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let repeat = async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    assert!(timeout(LIMIT, repeat).await.is_ok(), "not in time: {what}");
}

pub(crate) async fn count(client: &Client, table: &str) -> i64 {
    let sql = format!("SELECT count(*) FROM {table}");
    client.query_one(&sql, &[]).await.expect("counts").get(0)
}

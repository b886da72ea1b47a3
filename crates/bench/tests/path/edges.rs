//! TLS towards callers and metrics.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use tokio_postgres::config::SslMode;
use tokio_postgres_rustls::MakeRustlsConnect;

use crate::support::World;
use crate::support::value;

#[tokio::test]
async fn callers_connect_with_tls_and_without() {
    let dir = tempfile::tempdir().unwrap();
    let own = rcgen::generate_simple_self_signed(["localhost".to_owned()]).unwrap();
    let (cert, key) = (dir.path().join("cert.pem"), dir.path().join("key.pem"));
    std::fs::write(&cert, own.cert.pem()).unwrap();
    std::fs::write(&key, own.signing_key.serialize_pem()).unwrap();
    let world = World::with("", &json!({"tls": {"cert": cert, "key": key}})).await;
    let mut roots = rustls::RootCertStore::empty();
    roots.add(own.cert.der().clone()).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .unwrap()
        .with_root_certificates(roots)
        .with_no_client_auth();
    let mut secure = tokio_postgres::Config::new();
    secure
        .host("localhost")
        .hostaddr("127.0.0.1".parse().unwrap())
        .port(world.daemon.sql.port())
        .user("ash")
        .password(&world.ash.key)
        .dbname("hire")
        .ssl_mode(SslMode::Require);
    let (client, connection) = secure.connect(MakeRustlsConnect::new(tls)).await.unwrap();
    tokio::spawn(connection);
    client
        .batch_execute("INSERT INTO t VALUES (1, 'a')")
        .await
        .unwrap();
    assert_eq!(value(&client, "SELECT count(*) FROM t").await, "1");
    let plain = world.connect("ash").await;
    assert_eq!(value(&plain, "SELECT count(*) FROM t").await, "1");
}

#[tokio::test]
async fn metrics_carry_organisation_role_and_refusals() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_secs(5)))
        .unwrap();
    let address = socket.local_addr().unwrap().to_string();
    let world = World::with("", &json!({"metrics": {"statsd": address, "prefix": "mh"}})).await;
    let client = world.connect("oak").await;
    let reader = tokio::task::spawn_blocking(move || {
        let mut text = String::new();
        let mut buffer = [0; 65536];
        let wanted = [
            "mh.request_micros:",
            "organisation:oak",
            "member:primary",
            "code:0A000",
        ];
        while !wanted.iter().all(|part| text.contains(part)) {
            let size = socket.recv(&mut buffer).expect("a packet in time");
            text.push_str(&String::from_utf8_lossy(&buffer[..size]));
        }
    });
    // Packets are sent when a buffer is full.
    while !reader.is_finished() {
        value(&client, "SELECT count(*) FROM t").await;
        client.simple_query("LISTEN a").await.unwrap_err();
    }
    reader.await.unwrap();
}

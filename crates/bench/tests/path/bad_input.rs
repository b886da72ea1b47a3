//! Malformed and hostile input: a typed error for its sender, and no one else is affected.

use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::support::World;
use crate::support::value;

const STARTUP: &[u8] = b"\x00\x03\x00\x00user\0x\0database\0open\0\0";

/// Sends bytes and reads until the daemon closes the connection.
async fn converse(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    // The daemon may close before everything is written.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn framed(body: &[u8]) -> Vec<u8> {
    let mut bytes = u32::try_from(body.len() + 4)
        .unwrap()
        .to_be_bytes()
        .to_vec();
    bytes.extend_from_slice(body);
    bytes
}

fn after_startup(bytes: &[u8]) -> Vec<u8> {
    let mut all = framed(STARTUP);
    all.extend_from_slice(bytes);
    all
}

#[tokio::test]
async fn malformed_startup_gets_a_protocol_error() {
    let world = World::start().await;
    let bystander = world.connect("ash").await;
    let address = world.daemon.sql;
    let cases: [&[u8]; 7] = [
        b"\x00\x00\x00\x00",
        b"\xff\xff\xff\xff\x00\x03\x00\x00",
        b"GET / HTTP/1.1\r\n\r\n",
        &framed(b"\x00\x02\x00\x00user\0x\0\0"),
        &framed(b"\x00\x03\x00\x00user\0x"),
        &framed(b"\x00\x03\x00\x00database\0x\0\0"),
        &framed(b"\x00\x03\x00\x00user\0\xff\xfe\0\0"),
    ];
    for case in cases {
        let answer = converse(address, case).await;
        assert!(answer.contains("C08P01"), "{case:?}: {answer:?}");
        assert!(answer.contains("outcome=not_run"), "{case:?}: {answer:?}");
    }
    assert_eq!(value(&bystander, "SELECT 1").await, "1");
}

#[tokio::test]
async fn malformed_messages_end_only_their_own_session() {
    let world = World::start().await;
    let bystander = world.connect("ash").await;
    let cases: [(&[u8], &str); 8] = [
        (b"y\x00\x00\x00\x04", "C08P01"),
        (b"Q\x00\x00\x00\x03", "C08P01"),
        (b"Q\x7f\xff\xff\xffSELECT", "C54000"),
        (b"Q\x00\x00\x00\x0aSELECTX\x00\x00\x00\x04", "C08P01"),
        (
            b"B\x00\x00\x00\x05\x00S\x00\x00\x00\x04X\x00\x00\x00\x04",
            "C08P01",
        ),
        (
            b"D\x00\x00\x00\x06?\x00S\x00\x00\x00\x04X\x00\x00\x00\x04",
            "C08P01",
        ),
        (
            b"F\x00\x00\x00\x08\x00\x00\x00\x00X\x00\x00\x00\x04",
            "C0A000",
        ),
        (b"E\x00\x00\x00\x09zzzzzX\x00\x00\x00\x04", "C08P01"),
    ];
    for (case, code) in cases {
        let answer = converse(world.daemon.sql, &after_startup(case)).await;
        assert!(answer.contains(code), "{case:?}: {answer:?}");
    }
    assert_eq!(value(&bystander, "SELECT 1").await, "1");
}

#[tokio::test]
async fn unknown_statement_and_portal_are_errors_of_their_request() {
    let world = World::start().await;
    // Bind of an unknown statement, ignored Execute, Sync, then a query that works.
    let mut bytes = b"B\x00\x00\x00\x0c\x00gone\x00\x00\x00".to_vec();
    bytes.extend_from_slice(b"E\x00\x00\x00\x09\x00\x00\x00\x00\x00S\x00\x00\x00\x04");
    bytes.extend_from_slice(b"E\x00\x00\x00\x0dgone\x00\x00\x00\x00\x00S\x00\x00\x00\x04");
    bytes.extend_from_slice(b"Q\x00\x00\x00\x13SELECT 'alive'\x00X\x00\x00\x00\x04");
    let answer = converse(world.daemon.sql, &after_startup(&bytes)).await;
    assert!(answer.contains("C26000"), "{answer:?}");
    assert!(answer.contains("C34000"), "{answer:?}");
    assert!(answer.contains("alive"), "{answer:?}");
}

#[tokio::test]
async fn flush_gets_its_answers_before_sync() {
    let world = World::start().await;
    let mut stream = TcpStream::connect(world.daemon.sql).await.unwrap();
    let parse = b"P\x00\x00\x00\x16\x00SELECT 'alive'\x00\x00\x00H\x00\x00\x00\x04";
    stream.write_all(&after_startup(parse)).await.unwrap();
    let mut answer = Vec::new();
    let complete = b"1\x00\x00\x00\x04";
    while !answer.windows(5).any(|window| window == complete) {
        assert_ne!(stream.read_buf(&mut answer).await.unwrap(), 0);
    }
    let run =
        b"B\x00\x00\x00\x0c\x00\x00\x00\x00\x00\x00\x00\x00E\x00\x00\x00\x09\x00\x00\x00\x00\x00\
        S\x00\x00\x00\x04X\x00\x00\x00\x04";
    stream.write_all(run).await.unwrap();
    answer.clear();
    let _ = stream.read_to_end(&mut answer).await;
    let text = String::from_utf8_lossy(&answer);
    assert!(
        text.contains("alive") && text.ends_with("Z\0\0\0\u{5}I"),
        "{text:?}"
    );
}

//! Tests that the links of the fault proxy inject exactly the requested faults.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use magnoliahatch_bench::fault::link::Link;
use magnoliahatch_bench::fault::link_settings::LinkSettings;
use magnoliahatch_bench::fault::mode::LinkMode;
use magnoliahatch_bench::fault::protocol::Protocol;
use magnoliahatch_bench::fault::source::Source;
use magnoliahatch_bench::fault::sources::Sources;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::UdpSocket;
use tokio::time::timeout;

/// Timeout of each wait for expected data.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a test waits to check that no data arrives. Only data that arrives within this time
/// fails the check, so a slow machine cannot.
const NO_DATA_WAIT: Duration = Duration::from_millis(60);

async fn start_tcp_echo() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    addr
}

async fn bind_link(protocol: Protocol, target: SocketAddr, delay_us: u64) -> Link {
    let settings = LinkSettings {
        name: "a".to_owned(),
        protocol,
        listen: "127.0.0.1:0".parse().unwrap(),
        target: Some(target),
        delay_us,
        delays_us: BTreeMap::new(),
    };
    Link::bind(&settings, Sources::default()).await.unwrap()
}

async fn bind_echo_link() -> Link {
    bind_link(Protocol::Tcp, start_tcp_echo().await, 0).await
}

async fn connect(link: &Link) -> TcpStream {
    TcpStream::connect(link.listen()).await.unwrap()
}

async fn read(stream: &mut TcpStream) -> io::Result<Vec<u8>> {
    let mut buffer = [0; 64];
    let count = timeout(WAIT_TIMEOUT, stream.read(&mut buffer))
        .await
        .expect("no data within the timeout")?;
    Ok(buffer[..count].to_vec())
}

async fn echo(stream: &mut TcpStream, text: &[u8]) -> io::Result<Vec<u8>> {
    stream.write_all(text).await?;
    read(stream).await
}

async fn assert_no_data(stream: &mut TcpStream) {
    let mut buffer = [0; 64];
    let answer = timeout(NO_DATA_WAIT, stream.read(&mut buffer)).await;
    assert!(answer.is_err(), "expected no data, got {answer:?}");
}

#[tokio::test]
async fn passes_bytes_and_the_end_of_the_stream() {
    let link = bind_echo_link().await;
    let mut stream = connect(&link).await;
    assert_eq!(echo(&mut stream, b"abc").await.unwrap(), b"abc");
    stream.shutdown().await.unwrap();
    assert_eq!(read(&mut stream).await.unwrap(), b"");
}

#[tokio::test]
async fn cut_discards_and_resets_when_it_ends() {
    let link = bind_echo_link().await;
    let mut open = connect(&link).await;
    echo(&mut open, b"abc").await.unwrap();
    link.set_mode(LinkMode::Cut);
    open.write_all(b"lost").await.unwrap();
    let mut new = connect(&link).await;
    new.write_all(b"held").await.unwrap();
    assert_no_data(&mut open).await;
    assert_no_data(&mut new).await;
    link.set_mode(LinkMode::Pass);
    assert_eq!(
        read(&mut open).await.unwrap_err().kind(),
        io::ErrorKind::ConnectionReset
    );
    assert_eq!(
        read(&mut new).await.unwrap_err().kind(),
        io::ErrorKind::ConnectionReset
    );
    let mut later = connect(&link).await;
    assert_eq!(echo(&mut later, b"abc").await.unwrap(), b"abc");
    assert_eq!(link.report().discarded, 4);
}

#[tokio::test]
async fn cut_back_lets_requests_reach_the_target() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = bind_link(Protocol::Tcp, listener.local_addr().unwrap(), 0).await;
    let mut client = connect(&link).await;
    let (mut server, _) = listener.accept().await.unwrap();
    client.write_all(b"first").await.unwrap();
    assert_eq!(read(&mut server).await.unwrap(), b"first");
    link.set_mode(LinkMode::CutBack);
    client.write_all(b"second").await.unwrap();
    assert_eq!(read(&mut server).await.unwrap(), b"second");
    server.write_all(b"answer").await.unwrap();
    assert_no_data(&mut client).await;
}

#[tokio::test]
async fn cut_forward_lets_answers_reach_the_client() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link = bind_link(Protocol::Tcp, listener.local_addr().unwrap(), 0).await;
    let mut client = connect(&link).await;
    let (mut server, _) = listener.accept().await.unwrap();
    link.set_mode(LinkMode::CutForward);
    server.write_all(b"answer").await.unwrap();
    assert_eq!(read(&mut client).await.unwrap(), b"answer");
    client.write_all(b"lost").await.unwrap();
    assert_no_data(&mut server).await;
}

#[tokio::test]
async fn freeze_delivers_everything_when_it_ends() {
    let link = bind_echo_link().await;
    let mut open = connect(&link).await;
    echo(&mut open, b"abc").await.unwrap();
    link.set_mode(LinkMode::Freeze);
    open.write_all(b"late").await.unwrap();
    let mut new = connect(&link).await;
    new.write_all(b"later").await.unwrap();
    assert_no_data(&mut open).await;
    assert_no_data(&mut new).await;
    link.set_mode(LinkMode::Pass);
    assert_eq!(read(&mut open).await.unwrap(), b"late");
    assert_eq!(read(&mut new).await.unwrap(), b"later");
}

#[tokio::test]
async fn freeze_open_stops_traffic_on_open_connections_only() {
    let link = bind_echo_link().await;
    let mut open = connect(&link).await;
    echo(&mut open, b"abc").await.unwrap();
    link.freeze_open();
    open.write_all(b"held").await.unwrap();
    let mut new = connect(&link).await;
    assert_eq!(echo(&mut new, b"abc").await.unwrap(), b"abc");
    link.set_mode(LinkMode::Pass);
    assert_no_data(&mut open).await;
}

#[tokio::test]
async fn reset_ends_open_connections_with_an_error() {
    let link = bind_echo_link().await;
    let mut open = connect(&link).await;
    echo(&mut open, b"abc").await.unwrap();
    link.reset();
    assert_eq!(
        read(&mut open).await.unwrap_err().kind(),
        io::ErrorKind::ConnectionReset
    );
    let mut new = connect(&link).await;
    assert_eq!(echo(&mut new, b"abc").await.unwrap(), b"abc");
}

#[tokio::test]
async fn delay_applies_in_each_direction_without_limiting_throughput() {
    let link = bind_link(Protocol::Tcp, start_tcp_echo().await, 20_000).await;
    let mut stream = connect(&link).await;
    echo(&mut stream, b"warm").await.unwrap();
    let start = Instant::now();
    assert_eq!(echo(&mut stream, b"abc").await.unwrap(), b"abc");
    assert!(
        start.elapsed() >= Duration::from_millis(40),
        "{:?}",
        start.elapsed()
    );
}

#[tokio::test]
async fn registered_process_has_its_own_delay() {
    let sources = Sources::default();
    let source = Source {
        process: std::process::id(),
        udp: None,
    };
    let settings = LinkSettings {
        name: "a".to_owned(),
        protocol: Protocol::Tcp,
        listen: "127.0.0.1:0".parse().unwrap(),
        target: Some(start_tcp_echo().await),
        delay_us: 0,
        delays_us: BTreeMap::from([("self".to_owned(), 150_000)]),
    };
    let link = Link::bind(&settings, sources.clone()).await.unwrap();
    for (known, fast) in [(false, true), (true, false)] {
        if known {
            sources.set("self".to_owned(), source.clone());
        }
        let mut stream = connect(&link).await;
        echo(&mut stream, b"warm").await.unwrap();
        let start = Instant::now();
        echo(&mut stream, b"abc").await.unwrap();
        assert_eq!(start.elapsed() < Duration::from_millis(300), fast);
    }
}

/// A process may open connections before it is registered. Cutting its traffic must not leave such
/// connections working.
#[tokio::test]
async fn cutting_a_process_also_resets_connections_of_unidentified_processes() {
    let sources = Sources::default();
    let settings = LinkSettings {
        name: "a".to_owned(),
        protocol: Protocol::Tcp,
        listen: "127.0.0.1:0".parse().unwrap(),
        target: Some(start_tcp_echo().await),
        delay_us: 0,
        delays_us: BTreeMap::from([("self".to_owned(), 0)]),
    };
    let link = Link::bind(&settings, sources.clone()).await.unwrap();
    let mut early = connect(&link).await;
    assert_eq!(echo(&mut early, b"a").await.unwrap(), b"a");
    let source = Source {
        process: std::process::id(),
        udp: None,
    };
    sources.set("self".to_owned(), source);
    let mut known = connect(&link).await;
    assert_eq!(echo(&mut known, b"b").await.unwrap(), b"b");

    link.set_cut_sources(BTreeSet::from(["other".to_owned()]));
    assert!(echo(&mut early, b"c").await.is_err());
    assert_eq!(echo(&mut known, b"d").await.unwrap(), b"d");
    link.set_cut_sources(BTreeSet::from(["self".to_owned()]));
    known.write_all(b"e").await.unwrap();
    assert_no_data(&mut known).await;
    let mut new = connect(&link).await;
    new.write_all(b"f").await.unwrap();
    assert_no_data(&mut new).await;

    link.set_cut_sources(BTreeSet::new());
    assert!(echo(&mut known, b"g").await.is_err());
    let mut new = connect(&link).await;
    assert_eq!(echo(&mut new, b"h").await.unwrap(), b"h");
}

#[tokio::test]
async fn udp_flows_pass_cut_and_freeze() {
    let server = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let link = bind_link(Protocol::Udp, server.local_addr().unwrap(), 0).await;
    tokio::spawn(async move {
        let mut buffer = [0; 64];
        while let Ok((count, from)) = server.recv_from(&mut buffer).await {
            let _ = server.send_to(&buffer[..count], from).await;
        }
    });
    let open = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    open.connect(link.listen()).await.unwrap();
    let new = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    new.connect(link.listen()).await.unwrap();
    let mut buffer = [0; 64];

    open.send(b"abc").await.unwrap();
    assert_eq!(
        timeout(WAIT_TIMEOUT, open.recv(&mut buffer))
            .await
            .unwrap()
            .unwrap(),
        3
    );
    link.set_mode(LinkMode::Cut);
    open.send(b"lost").await.unwrap();
    assert!(timeout(NO_DATA_WAIT, open.recv(&mut buffer)).await.is_err());
    link.set_mode(LinkMode::Pass);
    link.freeze_open();
    open.send(b"frozen").await.unwrap();
    new.send(b"ab").await.unwrap();
    assert_eq!(
        timeout(WAIT_TIMEOUT, new.recv(&mut buffer))
            .await
            .unwrap()
            .unwrap(),
        2
    );
    assert!(timeout(NO_DATA_WAIT, open.recv(&mut buffer)).await.is_err());
}

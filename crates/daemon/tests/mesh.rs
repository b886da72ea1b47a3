//! Tests of the control mesh between two hosts.

mod limits_support;

use std::sync::Arc;
use std::time::Duration;

use limits_support::certificates;
use limits_support::fleet::change;
use limits_support::fleet::view;
use limits_support::node::History;
use limits_support::node::Node;
use limits_support::node::addresses;
use limits_support::store::Store;
use limits_support::wait_until;
use magnoliahatch_client::config_patch::ConfigPatch;
use magnoliahatch_core::failure_detector::PrimaryObservation;
use magnoliahatch_daemon::limits::settings::LimitSettings;
use magnoliahatch_daemon::mesh::event::MeshEvent;
use magnoliahatch_daemon::mesh::frame::Body;
use magnoliahatch_daemon::mesh::frame::Frame;
use magnoliahatch_daemon::mesh::frame::FrameError;
use magnoliahatch_daemon::mesh::frame::VERSION;
use tempfile::TempDir;

/// Guards against a frame of an unknown format version being parsed as the current one.
#[test]
fn unknown_frame_versions_are_rejected() {
    let frame = Frame {
        sender: "host-0".into(),
        incarnation: 3,
        request: 9,
        body: Body::ConfigPull(17),
    };
    let mut data = frame.encode().unwrap();
    assert_eq!(Frame::decode(&data), Ok(frame));
    let unknown = VERSION + 1;
    data[0] = unknown;
    assert_eq!(Frame::decode(&data), Err(FrameError::Version(unknown)));
    assert_eq!(Frame::decode(&[]), Err(FrameError::Empty));
    assert!(matches!(
        Frame::decode(&[VERSION, 200]),
        Err(FrameError::Format(_))
    ));
}

fn spawn_pair(tls: &TempDir, store: &Store) -> [Node; 2] {
    let node = |name: &str| {
        let settings = LimitSettings::default();
        Node::spawn(name, tls.path(), &store.url(), settings, History::default())
    };
    let nodes = [node("host-0"), node("host-1")];
    let view = Arc::new(view(10.0, 10.0, 2, &addresses(nodes.iter())));
    nodes.iter().for_each(|n| n.configure(&view));
    nodes
}

fn reported_recently(node: &Node, peer: &str) -> bool {
    let reports = node.parts.mesh.reports();
    let reports = reports.borrow();
    reports
        .get(peer)
        .is_some_and(|r| r.received_at.elapsed() < Duration::from_secs(2))
}

/// Guards against announcements and configuration that do not arrive, and against a connection
/// that is not reopened after the peer was paused.
#[tokio::test]
async fn announcements_and_configuration_arrive_and_a_paused_peer_reconnects() {
    let tls = TempDir::new().unwrap();
    certificates::write(tls.path(), &["host-0".into(), "host-1".into()]);
    let store = Store::bind().await;
    let [mut first, mut second] = spawn_pair(&tls, &store);
    let observation = PrimaryObservation {
        term: 4,
        reachable: false,
    };
    first.parts.announcement.send_modify(|a| {
        a.observations.insert("db".into(), observation);
        a.draining = true;
        a.revision = 12;
    });
    wait_until("the announcement has arrived", || {
        let reports = second.parts.mesh.reports();
        let reports = reports.borrow();
        let announcement = reports.get("host-0").map(|r| r.announcement.clone());
        announcement.is_some_and(|a| {
            a.observations.get("db") == Some(&observation) && a.draining && a.revision == 12
        })
    })
    .await;
    wait_until("both sides are heard", || {
        reported_recently(&first, "host-1")
    })
    .await;

    let mut events = first.parts.events.take().unwrap();
    let to: String = "host-0".into();
    second.parts.mesh.pull(&to, 5, 11);
    let pulled = events.recv().await.unwrap();
    let from: String = "host-1".into();
    assert_eq!(
        pulled,
        MeshEvent::ConfigPull {
            from: from.clone(),
            request: 5,
            after: 11
        }
    );
    // Larger than one datagram.
    let text = "x".repeat(100_000);
    let changes = ConfigPatch {
        after: 11,
        revision: 12,
        kinds: Vec::new(),
        changes: vec![change("contract", "org", 12, text.into())],
    };
    first.parts.mesh.push(&from, 5, &changes);
    let pushed = second.parts.events.take().unwrap().recv().await.unwrap();
    assert_eq!(
        pushed,
        MeshEvent::ConfigPush {
            from: to,
            request: 5,
            changes
        }
    );

    second.pause();
    wait_until("the paused peer is silent", || {
        !reported_recently(&first, "host-1")
    })
    .await;
    // Longer than the idle timeout of the connection.
    wait_until("the silence has lasted", || {
        let reports = first.parts.mesh.reports();
        let reports = reports.borrow();
        reports["host-1"].received_at.elapsed() > Duration::from_secs(5)
    })
    .await;
    second.resume();
    wait_until("the peers talk again", || {
        reported_recently(&first, "host-1") && reported_recently(&second, "host-0")
    })
    .await;
}

/// Guards against a host that sends frames in another host's name, and against hosts whose
/// certificate is signed by an unknown authority.
#[tokio::test]
async fn frames_are_accepted_only_from_the_host_that_the_certificate_names() {
    let tls = TempDir::new().unwrap();
    certificates::write(tls.path(), &["host-0".into(), "host-1".into()]);
    // Signed by the same authority, but issued for another name.
    std::fs::copy(tls.path().join("host-1.pem"), tls.path().join("host-2.pem")).unwrap();
    std::fs::copy(tls.path().join("host-1.key"), tls.path().join("host-2.key")).unwrap();
    let unknown_authority = TempDir::new().unwrap();
    certificates::write(unknown_authority.path(), &["host-1".into()]);
    let store = Store::bind().await;
    for (folder, name) in [(&tls, "host-2"), (&unknown_authority, "host-1")] {
        let settings = LimitSettings::default();
        let server = Node::spawn(
            "host-0",
            tls.path(),
            &store.url(),
            settings,
            History::default(),
        );
        let client = Node::spawn(
            name,
            folder.path(),
            &store.url(),
            settings,
            History::default(),
        );
        client.configure(&Arc::new(view(
            10.0,
            10.0,
            2,
            &addresses([&server].into_iter()),
        )));
        wait_until("the connection is refused", || {
            server.parts.mesh.stats().snapshot().refused > 0
        })
        .await;
        assert!(server.parts.mesh.reports().borrow().is_empty());
    }
}

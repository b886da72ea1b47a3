//! Tests of a host's view of the store: how lists, changes, reports from peers and the host's own
//! writes update it.

use std::time::Duration;

use magnoliahatch_core::ids::Revision;
use magnoliahatch_gateway::model::configuration::Configuration;
use magnoliahatch_gateway::model::host_entry::HostEntry;
use magnoliahatch_gateway::model::kind::ObjectKind;
use magnoliahatch_gateway::model::member_entry::MemberEntry;
use magnoliahatch_gateway::model::object::Change;
use magnoliahatch_gateway::model::object::Changes;
use magnoliahatch_gateway::model::object::Content;
use magnoliahatch_gateway::model::object::Listing;
use magnoliahatch_gateway::model::object::Object;
use magnoliahatch_gateway::view::kind_view::KindView;
use magnoliahatch_gateway::view::view_state::ViewState;

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn object(name: &str, revision: Revision) -> Object {
    Object {
        name: name.to_owned(),
        revision,
        content: Some(Content::Evacuation),
    }
}

fn listing(revision: Revision, objects: Vec<Object>) -> Listing {
    Listing { objects, revision }
}

fn changes(revision: Revision, changes: Vec<Change>) -> Changes {
    Changes { changes, revision }
}

fn member(service: &str) -> Content {
    Content::Member(MemberEntry {
        service: service.to_owned(),
        address: ([10, 0, 0, 1], 80).into(),
        data_centre: "a".to_owned(),
        slots: 2,
        draining: false,
        primary: false,
        started_ms: 1,
        cold: Duration::ZERO,
    })
}

/// After a host's own write its copy must not count as being as recent as the write; otherwise it
/// would never receive another host's change made just before.
#[test]
fn own_write_does_not_hide_an_earlier_change_of_another_host() {
    let mut reader = KindView::default();
    reader.on_listing(listing(40, vec![]), seconds(1));
    let mut follower = KindView::default();
    follower.on_listing(listing(40, vec![]), seconds(1));
    let both_changes = vec![
        Change::Set(object("theirs", 48)),
        Change::Set(object("own", 50)),
    ];
    reader.on_changes(changes(50, both_changes), seconds(2));

    follower.on_written(object("own", 50));
    let report = reader
        .report(ObjectKind::Primaries, follower.content_revision, seconds(2))
        .expect("the reader has listed");
    follower.on_report(report, seconds(2));

    assert!(follower.objects.contains_key("theirs"));
}

/// Guards against followers that count a former primary record as current, because the host that
/// replaced it hears of its own write from a list and not from its watch (review/7).
#[test]
fn own_write_that_a_list_confirms_reaches_followers() {
    let mut writer = KindView::default();
    writer.on_listing(listing(40, vec![object("ledger", 30)]), seconds(1));
    let mut follower = KindView::default();
    follower.on_listing(listing(40, vec![object("ledger", 30)]), seconds(1));

    writer.on_written(object("ledger", 50));
    writer.on_listing(listing(52, vec![object("ledger", 50)]), seconds(2));
    let report = writer
        .report(ObjectKind::Primaries, follower.content_revision, seconds(3))
        .expect("the writer has listed");
    follower.on_report(report, seconds(2));

    assert_eq!(follower.objects["ledger"].revision, 50);
    assert_eq!(follower.age(seconds(3)), Some(seconds(1)));
}

/// A host must not lose its own registration because a peer has not seen it yet.
#[test]
fn report_of_an_older_copy_keeps_a_newer_own_write() {
    let mut reader = KindView::default();
    reader.on_listing(listing(48, vec![object("theirs", 48)]), seconds(1));
    let mut follower = KindView::default();
    follower.on_listing(listing(40, vec![]), seconds(1));
    follower.on_written(object("own", 50));

    let report = reader
        .report(ObjectKind::Hosts, follower.content_revision, seconds(2))
        .expect("the reader has listed");
    follower.on_report(report, seconds(2));

    assert!(follower.objects.contains_key("own"));
    assert!(follower.objects.contains_key("theirs"));
}

/// A member must not stay in use after its removal if the host learns of it only through a peer.
#[test]
fn report_includes_removals() {
    let mut reader = KindView::default();
    reader.on_listing(
        listing(10, vec![object("a", 5), object("b", 6)]),
        seconds(1),
    );
    let mut follower = KindView::default();
    follower.on_listing(
        listing(10, vec![object("a", 5), object("b", 6)]),
        seconds(1),
    );
    reader.on_changes(
        changes(12, vec![Change::Removed("a".to_owned())]),
        seconds(2),
    );

    let report = reader
        .report(ObjectKind::Members, follower.content_revision, seconds(2))
        .expect("the reader has listed");
    let removed = follower.on_report(report, seconds(2)).expect("complete");

    assert_eq!(removed.len(), 1);
    assert_eq!(follower.objects.keys().collect::<Vec<_>>(), ["b"]);
}

/// A configuration that was omitted from a report because of its size must not count as received.
#[test]
fn incomplete_report_changes_neither_content_nor_age() {
    let mut follower = KindView::default();
    follower.on_listing(listing(10, vec![object("main", 10)]), seconds(1));
    let mut reader = KindView::default();
    reader.on_listing(listing(20, vec![object("main", 20)]), seconds(5));
    let mut report = reader
        .report(
            ObjectKind::Configuration,
            follower.content_revision,
            seconds(5),
        )
        .expect("the reader has listed");
    report.objects.clear();
    report.complete = false;

    assert!(follower.on_report(report, seconds(5)).is_none());
    assert_eq!(follower.content_revision, 10);
    assert_eq!(follower.age(seconds(6)), Some(seconds(5)));
}

/// A late answer must not bring back a removed object.
#[test]
fn older_list_is_ignored() {
    let mut view = KindView::default();
    view.on_listing(listing(20, vec![]), seconds(2));
    view.on_listing(listing(10, vec![object("a", 5)]), seconds(1));
    assert!(view.objects.is_empty());
    assert_eq!(view.age(seconds(3)), Some(seconds(1)));
}

/// Guards against a change that no host ever learns of: a watch missed it while the store dropped its
/// history, and ended by its time limit with a later revision.
#[test]
fn watch_continues_from_before_an_answer_without_changes() {
    let mut view = KindView::default();
    view.on_listing(listing(40, vec![]), seconds(1));
    view.on_changes(changes(52, vec![]), seconds(2));
    assert_eq!(view.watch_revision, 40);
    view.on_changes(changes(55, vec![]), seconds(4));
    assert_eq!(view.watch_revision, 52);
    let missed = Change::Set(object("missed", 54));
    view.on_changes(changes(55, vec![missed]), seconds(6));
    assert_eq!(view.watch_revision, 55);
    assert!(view.objects.contains_key("missed"));
    let report = view.report(ObjectKind::Hosts, 40, seconds(6));
    assert_eq!(report.expect("listed").objects.len(), 1);
}

/// Guards against a removed object that is in use again, and against one that is lost, because the
/// answer of a watch arrives after a list that was made later.
#[test]
fn changes_older_than_a_list_are_ignored() {
    let mut view = KindView::default();
    view.on_listing(listing(20, vec![object("kept", 18)]), seconds(2));
    let older = vec![
        Change::Set(object("removed", 14)),
        Change::Removed("kept".to_owned()),
    ];
    view.on_changes(changes(15, older), seconds(1));
    assert_eq!(view.objects.keys().collect::<Vec<_>>(), ["kept"]);
    assert_eq!(view.watch_revision, 20);
}

/// Content that cannot be decoded must not replace a known configuration.
#[test]
fn undecodable_content_does_not_replace_known_content() {
    let mut view = KindView::default();
    view.on_listing(listing(10, vec![object("main", 10)]), seconds(1));
    let undecodable = Object {
        content: None,
        ..object("main", 11)
    };
    view.on_changes(changes(11, vec![Change::Set(undecodable)]), seconds(2));
    assert_eq!(view.objects["main"].content, Some(Content::Evacuation));
    assert_eq!(view.objects["main"].revision, 11);
}

/// A configuration must not be replaced by a lower version.
#[test]
fn configuration_version_never_decreases() {
    let configuration = |version, revision| Object {
        name: "main".to_owned(),
        revision,
        content: Some(Content::Configuration(Configuration {
            version,
            ..Configuration::default()
        })),
    };
    let mut view = ViewState::default();
    let kind = ObjectKind::Configuration;
    let newer = listing(10, vec![configuration(7, 10)]);
    view.on_listing(kind, newer, seconds(1), seconds(1));
    let older = changes(12, vec![Change::Set(configuration(6, 12))]);
    view.on_changes(kind, older, seconds(2), seconds(2));
    assert_eq!(view.configuration().expect("known").version, 7);
}

/// A member must stay in use for a short time when its registration expires while the store is
/// unavailable, but no longer if its registration is not renewed.
#[test]
fn expired_registration_is_used_for_a_short_time_only() {
    let entry = Object {
        name: "m1".to_owned(),
        revision: 5,
        content: Some(member("ledger")),
    };
    let mut view = ViewState::default();
    view.on_listing(
        ObjectKind::Members,
        listing(5, vec![entry]),
        seconds(1),
        seconds(1),
    );
    let removal_change = changes(9, vec![Change::Removed("m1".to_owned())]);
    view.on_changes(
        ObjectKind::Members,
        removal_change,
        seconds(10),
        seconds(10),
    );
    assert_eq!(view.members("ledger", seconds(11)).len(), 1);
    assert!(view.registered("m1").is_none());
    assert!(view.members("ledger", seconds(13)).is_empty());
}

/// Guards against a member that is taken for gone, with the commits that only it holds, because its
/// registration is missing (review/2). It stays known until it or its successor is registered.
#[test]
fn member_without_a_registration_stays_known_until_it_is_replaced() {
    let kind = ObjectKind::Members;
    let entry = |name: &str, revision| Object {
        name: name.to_owned(),
        revision,
        content: Some(member("ledger")),
    };
    for successor in ["m1", "m2"] {
        let mut view = ViewState::default();
        let list = listing(5, vec![entry("m1", 5)]);
        view.on_listing(kind, list, seconds(1), seconds(1));
        let removal = changes(9, vec![Change::Removed("m1".to_owned())]);
        view.on_changes(kind, removal, seconds(2), seconds(2));
        let other = Object {
            content: Some(member("other")),
            ..entry("m9", 10)
        };
        let addition = changes(10, vec![Change::Set(other)]);
        view.on_changes(kind, addition, seconds(100), seconds(100));
        let ids = |view: &ViewState| -> Vec<String> {
            let members = view.known_members("ledger").into_iter();
            members.map(|(id, _)| id.clone()).collect()
        };
        assert_eq!(ids(&view), ["m1"]);
        assert!(view.members("ledger", seconds(100)).is_empty());
        let addition = changes(11, vec![Change::Set(entry(successor, 11))]);
        view.on_changes(kind, addition, seconds(101), seconds(101));
        assert_eq!(ids(&view), [successor]);
    }
}

/// A change of primary must wait for a host whose registration was just removed, since its view may
/// still allow it to use the old primary.
#[test]
fn removed_host_that_was_not_leaving_is_remembered() {
    let host = |leaving| Object {
        name: "h1".to_owned(),
        revision: 5,
        content: Some(Content::Host(HostEntry {
            mesh: ([10, 0, 0, 1], 90).into(),
            data_centre: "a".to_owned(),
            incarnation: 1,
            capacity: 250,
            leaving,
        })),
    };
    for (leaving, removal) in [(false, Some(seconds(3))), (true, None)] {
        let mut view = ViewState::default();
        let list = listing(5, vec![host(leaving)]);
        view.on_listing(ObjectKind::Hosts, list, seconds(1), seconds(1));
        let removal_change = changes(9, vec![Change::Removed("h1".to_owned())]);
        view.on_changes(ObjectKind::Hosts, removal_change, seconds(3), seconds(3));
        assert_eq!(view.processes().last_unexpected_removal(), removal);
    }
}

/// Guards against a process that is forgotten together with the commits that only it knows to be
/// acknowledged, although it was replaced by another one or left as planned.
#[test]
fn end_of_a_hosts_process_is_remembered() {
    let host = |incarnation, leaving| Object {
        name: "h1".to_owned(),
        revision: incarnation,
        content: Some(Content::Host(HostEntry {
            mesh: ([10, 0, 0, 1], 90).into(),
            data_centre: "a".to_owned(),
            incarnation,
            capacity: 250,
            leaving,
        })),
    };
    let kind = ObjectKind::Hosts;
    let ends = [
        Change::Set(host(6, false)),
        Change::Removed("h1".to_owned()),
    ];
    for end in ends {
        let mut view = ViewState::default();
        let list = listing(5, vec![host(5, true)]);
        view.on_listing(kind, list, seconds(1), seconds(1));
        assert_eq!(view.processes().last_end(), None);
        view.on_changes(kind, changes(9, vec![end]), seconds(3), seconds(3));
        assert_eq!(view.processes().last_end(), Some(seconds(3)));
    }
}

/// Guards against a process whose registration counts from before it was removed: the holder of a
/// change of primary that began in between has not asked it to stop (review/8).
#[test]
fn registration_counts_from_when_it_was_last_missing() {
    let entry = |leaving| {
        Content::Host(HostEntry {
            mesh: ([10, 0, 0, 1], 90).into(),
            data_centre: "a".to_owned(),
            incarnation: 6,
            capacity: 250,
            leaving,
        })
    };
    let host = |revision, leaving| Object {
        name: "h1".to_owned(),
        revision,
        content: Some(entry(leaving)),
    };
    let kind = ObjectKind::Hosts;
    let mut view = ViewState::default();
    view.on_written(kind, host(5, false), seconds(1));
    view.on_listing(
        kind,
        listing(5, vec![host(5, false)]),
        seconds(2),
        seconds(2),
    );
    view.on_written(kind, host(7, true), seconds(3));
    assert_eq!(view.processes().since("h1", 6), Some(seconds(1)));
    assert_eq!(view.processes().since("h1", 7), None);
    let removal = changes(9, vec![Change::Removed("h1".to_owned())]);
    view.on_changes(kind, removal, seconds(4), seconds(4));
    assert_eq!(view.processes().since("h1", 6), None);
    view.on_written(kind, host(11, false), seconds(6));
    assert_eq!(view.processes().since("h1", 6), Some(seconds(6)));
}

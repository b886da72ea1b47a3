//! Tests of a host's view of a store that comes back from an older copy.

use std::time::Duration;

use magnoliahatch_core::ids::Revision;
use magnoliahatch_gateway::model::configuration::Configuration;
use magnoliahatch_gateway::model::kind::ObjectKind;
use magnoliahatch_gateway::model::object::Changes;
use magnoliahatch_gateway::model::object::Content;
use magnoliahatch_gateway::model::object::Listing;
use magnoliahatch_gateway::model::object::Object;
use magnoliahatch_gateway::model::primary_record::PrimaryRecord;
use magnoliahatch_gateway::model::store_revision::Era;
use magnoliahatch_gateway::model::store_revision::era;
use magnoliahatch_gateway::model::store_revision::in_era;
use magnoliahatch_gateway::model::store_revision::own;
use magnoliahatch_gateway::view::kind_view::KindView;
use magnoliahatch_gateway::view::view_state::ViewState;

const SERVICE: &str = "ledger";

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn object(name: &str, revision: Revision, content: Content) -> Object {
    Object {
        name: name.to_owned(),
        revision,
        content: Some(content),
    }
}

fn evacuation(name: &str, revision: Revision) -> Object {
    object(name, revision, Content::Evacuation)
}

fn list(view: &mut ViewState, kind: ObjectKind, objects: Vec<Object>, revision: Revision, at: u64) {
    let listing = Listing { objects, revision };
    view.on_listing(kind, listing, seconds(at), seconds(at));
}

fn record(primary: &str, written_in: Era, revision: Revision) -> Object {
    let record = PrimaryRecord {
        primary: primary.to_owned(),
        change: None,
        members: Vec::new(),
        era: written_in,
        term: 1,
    };
    object(SERVICE, revision, Content::Primary(record))
}

fn primary(view: &ViewState) -> Option<&str> {
    view.primary(SERVICE).map(|(r, _)| r.primary.as_str())
}

/// Guards against numbers of two eras that are taken for equal or in the wrong order, and against
/// another number than today's for a store without eras.
#[test]
fn eras_order_revisions() {
    assert_eq!(in_era(0, 77), 77);
    assert!(in_era(1, 1_000_000_000) < in_era(2, 1));
    let revision = in_era(3, 41);
    assert_eq!((era(revision), own(revision)), (3, 41));
    // Readers of the fencing token may hold numbers as floating point.
    assert!(in_era(8191, u64::MAX) < 1 << 53);
}

/// Guards against a copy from before the restore that counts as newer than the store, and against an
/// own write that the store has lost.
#[test]
fn copy_of_a_later_era_replaces_one_of_a_former() {
    let mut view = KindView::default();
    let former = Listing {
        objects: vec![evacuation("a", in_era(1, 90))],
        revision: in_era(1, 100),
    };
    view.on_listing(former.clone(), seconds(1));
    let later = Listing {
        objects: vec![evacuation("b", in_era(2, 50))],
        revision: in_era(2, 60),
    };
    view.on_listing(later, seconds(2));
    view.on_listing(former, seconds(3));
    view.on_written(evacuation("own", in_era(1, 101)));
    let stale = Changes {
        changes: Vec::new(),
        revision: in_era(1, 102),
    };
    view.on_changes(stale, seconds(3));
    assert_eq!(view.objects.keys().collect::<Vec<_>>(), ["b"]);
    assert_eq!(view.age(seconds(4)), Some(seconds(2)));
    assert!(!view.on_revision(in_era(1, 100), seconds(4)));
}

/// Guards against a follower that keeps objects which the store has lost, because their revisions are
/// higher than those of the later era.
#[test]
fn follower_takes_over_the_copy_of_a_later_era() {
    let mut follower = KindView::default();
    let former = Listing {
        objects: vec![evacuation("lost", in_era(1, 95))],
        revision: in_era(1, 100),
    };
    follower.on_listing(former, seconds(1));
    let mut source = KindView::default();
    let later = Listing {
        objects: vec![evacuation("b", in_era(2, 50))],
        revision: in_era(2, 60),
    };
    source.on_listing(later, seconds(2));
    let report = source.report(
        ObjectKind::Evacuations,
        follower.content_revision,
        seconds(3),
    );
    follower.on_report(report.expect("listed"), seconds(2));
    assert_eq!(follower.objects.keys().collect::<Vec<_>>(), ["b"]);
}

/// Guards against the use of a record that the store has gone back to. The record of the former era
/// holds until the other one is repaired, and does not become younger meanwhile.
#[test]
fn restored_record_is_not_used() {
    let kind = ObjectKind::Primaries;
    let mut view = ViewState::default();
    list(
        &mut view,
        kind,
        vec![record("m2", 1, in_era(1, 100))],
        in_era(1, 100),
        1,
    );
    assert_eq!(
        (primary(&view), view.is_primary_restored(SERVICE)),
        (Some("m2"), false)
    );
    for later in [2, 3] {
        // Two restores in a row.
        let restored = record("m1", 1, in_era(later, 80));
        list(
            &mut view,
            kind,
            vec![restored],
            in_era(later, 90),
            3 + later,
        );
        assert_eq!(
            (primary(&view), view.is_primary_restored(SERVICE)),
            (Some("m2"), true)
        );
        assert_eq!(view.primary_current_at(SERVICE), Some(seconds(1)));
    }
    list(&mut view, kind, vec![], in_era(4, 10), 8);
    assert_eq!(
        (primary(&view), view.is_primary_restored(SERVICE)),
        (Some("m2"), true)
    );
    list(
        &mut view,
        kind,
        vec![record("m3", 4, in_era(4, 12))],
        in_era(4, 12),
        9,
    );
    assert_eq!(
        (primary(&view), view.is_primary_restored(SERVICE)),
        (Some("m3"), false)
    );
    assert_eq!(view.primary_current_at(SERVICE), Some(seconds(9)));
}

/// Guards against a started host that uses the record which the store has gone back to.
#[test]
fn host_without_a_former_record_uses_no_restored_one() {
    let mut view = ViewState::default();
    let restored = record("m1", 1, in_era(2, 80));
    list(
        &mut view,
        ObjectKind::Primaries,
        vec![restored],
        in_era(2, 90),
        1,
    );
    assert_eq!(
        (primary(&view), view.is_primary_restored(SERVICE)),
        (None, true)
    );
}

/// Guards against a withdrawn key that is in use again: a lower version of the configuration is neither
/// applied nor passed on.
#[test]
fn configuration_in_force_is_passed_on_after_a_restore() {
    let configuration = |version, revision| {
        let configuration = Configuration {
            version,
            ..Configuration::default()
        };
        object("main", revision, Content::Configuration(configuration))
    };
    let kind = ObjectKind::Configuration;
    let mut view = ViewState::default();
    list(
        &mut view,
        kind,
        vec![configuration(8, in_era(1, 100))],
        in_era(1, 100),
        1,
    );
    list(
        &mut view,
        kind,
        vec![configuration(7, in_era(2, 80))],
        in_era(2, 90),
        2,
    );
    let report = view.kind(kind).and_then(|k| k.report(kind, 0, seconds(2)));
    let mut started = ViewState::default();
    started.on_report(report.expect("listed"), seconds(2), seconds(2));
    // Its own list has the same revision, with the lower version.
    list(
        &mut started,
        kind,
        vec![configuration(7, in_era(2, 80))],
        in_era(2, 90),
        3,
    );
    for view in [&view, &started] {
        assert_eq!(view.configuration().expect("known").version, 8);
    }
}

/// Guards against new work for a data centre that is being evacuated, while the operator's entry is not
/// written again.
#[test]
fn evacuation_lasts_for_a_moment_after_a_restore() {
    let kind = ObjectKind::Evacuations;
    let mut view = ViewState::default();
    list(
        &mut view,
        kind,
        vec![evacuation("a", in_era(1, 99))],
        in_era(1, 100),
        1,
    );
    list(&mut view, kind, vec![], in_era(2, 90), 10);
    assert!(view.is_evacuated("a", seconds(12)));
    assert!(!view.is_evacuated("a", seconds(13)));
    list(
        &mut view,
        kind,
        vec![evacuation("a", in_era(2, 95))],
        in_era(2, 95),
        14,
    );
    list(&mut view, kind, vec![], in_era(2, 96), 15);
    assert!(
        !view.is_evacuated("a", seconds(15)),
        "taken back as planned"
    );
}

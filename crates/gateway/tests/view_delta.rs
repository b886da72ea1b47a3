//! Guards against copies of the store's objects that differ after changes were passed on through
//! several hosts, in particular removed objects that stay.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_gateway::mesh::frame::Difference;
use magnoliahatch_gateway::model::kind::ObjectKind;
use magnoliahatch_gateway::model::object::Change;
use magnoliahatch_gateway::model::object::Changes;
use magnoliahatch_gateway::model::object::Content;
use magnoliahatch_gateway::model::object::Listing;
use magnoliahatch_gateway::model::object::Object;
use magnoliahatch_gateway::view::kind_view::KindView;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

const SEED: u64 = 20_261_205;
const NOW: Duration = Duration::from_secs(1);
const HOSTS: usize = 4;

/// All changes of a store, each at its own revision.
#[derive(Debug, Default)]
struct Store {
    revision: u64,
    objects: BTreeMap<String, Object>,
    log: Vec<(u64, Change)>,
}

impl Store {
    fn change(&mut self, name: usize, set: bool) {
        self.revision += 1;
        let name = format!("o-{name}");
        let change = if set {
            let object = Object {
                name: name.clone(),
                revision: self.revision,
                content: Some(Content::Evacuation),
            };
            self.objects.insert(name, object.clone());
            Change::Set(object)
        } else {
            self.objects.remove(&name);
            Change::Removed(name)
        };
        self.log.push((self.revision, change));
    }

    fn list(&self) -> Listing {
        Listing {
            objects: self.objects.values().cloned().collect(),
            revision: self.revision,
        }
    }

    fn changes(&self, from: u64) -> Changes {
        let newer = self.log.iter().filter(|(revision, _)| *revision > from);
        Changes {
            changes: newer.map(|(_, change)| change.clone()).collect(),
            revision: self.revision,
        }
    }
}

/// Updates the copy `to` from the copy `from`. Returns whether the report named only removed
/// objects.
fn follow(views: &mut [KindView], from: usize, to: usize) -> bool {
    let known = views[to].content_revision;
    let report = views[from].report(ObjectKind::Members, known, NOW);
    let Some(report) = report else { return false };
    let is_delta = matches!(report.difference, Difference::Removed(_));
    views[to].on_report(report, NOW);
    is_delta
}

#[derive(Debug, Clone)]
enum Step {
    Change(usize, bool),
    List,
    Watch,
    Follow(usize, usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..6_usize, any::<bool>()).prop_map(|(name, set)| Step::Change(name, set)),
        1 => Just(Step::List),
        2 => Just(Step::Watch),
        6 => (0..HOSTS, 0..HOSTS).prop_map(|(from, to)| Step::Follow(from, to)),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 2000,
        rng_seed: RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Host 0 lists and watches the store; the others follow each other in any order.
    #[test]
    fn copies_converge(steps in proptest::collection::vec(step(), 1..60)) {
        let mut store = Store::default();
        let mut views: Vec<KindView> = (0..HOSTS).map(|_| KindView::default()).collect();
        views[0].on_listing(store.list(), NOW);
        for step in steps {
            match step {
                Step::Change(name, set) => store.change(name, set),
                Step::List => drop(views[0].on_listing(store.list(), NOW)),
                Step::Watch => {
                    let changes = store.changes(views[0].revision);
                    views[0].on_changes(changes, NOW);
                }
                Step::Follow(from, to) if from != to => {
                    follow(&mut views, from, to);
                }
                Step::Follow(..) => {}
            }
        }
        store.change(0, true);
        let changes = store.changes(views[0].revision);
        views[0].on_changes(changes, NOW);
        for host in 1..HOSTS {
            follow(&mut views, host - 1, host);
        }
        for view in &views {
            prop_assert_eq!(&view.objects, &store.objects);
        }
    }
}

/// Load pattern: a rolling restart of a fleet of 195 hosts, each of which leaves and comes back.
/// Guards against reports that name all hosts for each change.
#[test]
fn change_of_one_object_names_no_others() {
    let mut store = Store::default();
    for name in 0..195 {
        store.change(name, true);
    }
    let mut views: Vec<KindView> = (0..2).map(|_| KindView::default()).collect();
    views[0].on_listing(store.list(), NOW);
    follow(&mut views, 0, 1);
    for name in 0..195 {
        for set in [false, true] {
            store.change(name, set);
            let changes = store.changes(views[0].revision);
            views[0].on_changes(changes, NOW);
            assert!(follow(&mut views, 0, 1), "the report names all objects");
        }
    }
    assert_eq!(views[1].objects, store.objects);
}

/// Guards against followers that are woken by each poll of the store although nothing changed.
#[test]
fn list_without_changes_is_no_change() {
    let mut store = Store::default();
    store.change(0, true);
    let mut view = KindView::default();
    view.on_listing(store.list(), NOW);
    let known = view.content_revision;
    store.revision += 7;
    view.on_listing(store.list(), NOW * 2);
    assert_eq!(
        (view.content_revision, view.current_at),
        (known, Some(NOW * 2))
    );
}

/// Load pattern: a configuration so large that hosts read it from the store. Guards against a host
/// that lists it for each report of a peer although it has the same content.
#[test]
fn large_content_is_listed_once_for_a_report() {
    let mut store = Store::default();
    store.change(0, true);
    let mut views: Vec<KindView> = (0..2).map(|_| KindView::default()).collect();
    views[1].on_listing(store.list(), NOW);
    store.revision += 7;
    views[0].on_listing(store.list(), NOW);
    let mut lists = 0;
    for _ in 0..5 {
        let known = views[1].content_revision;
        let report = views[0].report(ObjectKind::Configuration, known, NOW);
        let mut report = report.expect("a report");
        if report.is_change() {
            report.objects.clear();
            report.complete = false;
        }
        if views[1].on_report(report, NOW).is_none() {
            views[1].on_listing(store.list(), NOW);
            lists += 1;
        }
    }
    assert_eq!(lists, 1);
    assert_eq!(views[1].objects, store.objects);
}

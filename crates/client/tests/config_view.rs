//! Guards against a configuration view that goes back to an older value, reports a revision whose
//! changes it has not all applied, or does not converge when changes are reordered, duplicated or
//! lost.

use std::collections::BTreeMap;

use magnoliahatch_client::config_patch::ConfigPatch;
use magnoliahatch_client::config_patch::MergeResult;
use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::change::Change;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::object_list::ObjectList;
use magnoliahatch_client::objects::stored_object::StoredObject;
use proptest::prelude::*;
use serde_json::json;

const VIEWS: usize = 3;
const NAMES: [&str; 3] = ["a", "b", "c"];
const KINDS: [&str; 2] = [kind::CONTRACT, kind::ROUTE];

/// All changes of a store, in order of revision.
#[derive(Debug, Default)]
struct History(Vec<Change>);

impl History {
    fn revision(&self) -> u64 {
        self.0.len() as u64
    }

    fn record(&mut self, kind: &str, name: &str, live: bool) {
        let revision = self.revision() + 1;
        let value = match kind {
            kind::CONTRACT => json!({"rate": revision, "burst": 1, "max_age_ms": 0}),
            _ => json!({"database": revision.to_string(), "access": "key"}),
        };
        let object = live.then(|| StoredObject {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version: revision,
            change_id: String::new(),
            value,
        });
        self.0.push(Change {
            kind: kind.to_owned(),
            name: name.to_owned(),
            revision,
            object,
        });
    }

    /// Latest change of each object up to a revision.
    fn last(&self, revision: u64) -> BTreeMap<(&str, &str), &Change> {
        let changes = self.0.iter().take(revision as usize);
        changes
            .map(|change| ((change.kind.as_str(), change.name.as_str()), change))
            .collect()
    }

    /// Lists of all kinds at `revision`, except that the list of routes was read `route_lead`
    /// revisions later.
    fn lists(&self, revision: u64, route_lead: u64) -> Vec<(&'static str, ObjectList)> {
        let list = |kind: &'static str| {
            let extra = if kind == kind::ROUTE { route_lead } else { 0 };
            let revision = (revision + extra).min(self.revision());
            let last = self.last(revision);
            let live = last.values().filter(|change| change.kind == kind);
            let objects = live.filter_map(|change| change.object.clone()).collect();
            (kind, ObjectList { revision, objects })
        };
        kind::ALL.map(list).to_vec()
    }

    fn watch(&self, after: u64) -> ConfigPatch {
        ConfigPatch {
            after,
            revision: self.revision(),
            kinds: kind::ALL.map(str::to_owned).to_vec(),
            changes: self.0.iter().skip(after as usize).cloned().collect(),
        }
    }
}

#[derive(Debug, Clone)]
enum Step {
    RecordChange {
        kind: usize,
        name: usize,
        live: bool,
    },
    /// Merges lists that the store returned `age` revisions ago.
    MergeLists {
        view: usize,
        age: u64,
        route_lead: u64,
    },
    Watch {
        view: usize,
    },
    /// Applies one change out of order, as a push from a peer may do.
    PushChange {
        view: usize,
        index: usize,
    },
    RequestPatch {
        from: usize,
        to: usize,
    },
    /// Delivers a patch created earlier. It is kept, so it may be delivered again.
    DeliverPatch {
        index: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let view = 0..VIEWS;
    prop_oneof![
        4 => (0..KINDS.len(), 0..NAMES.len(), any::<bool>())
            .prop_map(|(kind, name, live)| Step::RecordChange { kind, name, live }),
        1 => (view.clone(), 0..5u64, 0..4u64)
            .prop_map(|(view, age, route_lead)| Step::MergeLists { view, age, route_lead }),
        2 => view.clone().prop_map(|view| Step::Watch { view }),
        2 => (view.clone(), any::<usize>()).prop_map(|(view, index)| Step::PushChange { view, index }),
        2 => (view.clone(), view).prop_map(|(from, to)| Step::RequestPatch { from, to }),
        3 => any::<usize>().prop_map(|index| Step::DeliverPatch { index }),
    ]
}

/// Versions of the existing objects according to the typed maps, whose values contain them.
fn live_versions(view: &ConfigView) -> BTreeMap<(&'static str, String), u64> {
    let contracts = view.contracts.iter();
    let routes = view.routes.iter();
    contracts
        .map(|(name, contract)| ((kind::CONTRACT, name.clone()), contract.rate as u64))
        .chain(routes.map(|(name, route)| {
            let version = route.database.parse().unwrap();
            ((kind::ROUTE, name.clone()), version)
        }))
        .collect()
}

/// Checks that the view contains every change up to its revision, or newer ones.
fn check_applied(history: &History, view: &ConfigView) -> Result<(), TestCaseError> {
    let live = live_versions(view);
    for ((kind, name), change) in history.last(view.revision) {
        let kind = KINDS.into_iter().find(|k| *k == kind).unwrap();
        let version = live.get(&(kind, name.to_owned()));
        match change.object {
            Some(_) => {
                // An object may be missing only if it was deleted later.
                let later = history.0.iter().skip(change.revision as usize);
                let deleted_later = later
                    .filter(|c| c.kind == kind && c.name == name)
                    .any(|c| c.object.is_none());
                prop_assert!(version.map_or(deleted_later, |version| *version >= change.revision));
            }
            None => prop_assert!(version.is_none_or(|version| *version > change.revision)),
        }
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    #[test]
    fn never_reverts_and_converges(steps in prop::collection::vec(step(), 1..60)) {
        let mut history = History::default();
        let mut views = vec![ConfigView::default(); VIEWS];
        let mut in_flight: Vec<(usize, ConfigPatch)> = Vec::new();
        for step in steps {
            let before: Vec<_> =
                views.iter().map(|view| (view.revision, live_versions(view))).collect();
            match step {
                Step::RecordChange { kind, name, live } => {
                    history.record(KINDS[kind], NAMES[name], live);
                }
                Step::MergeLists { view, age, route_lead } => {
                    let revision = history.revision().saturating_sub(age);
                    views[view].merge_lists(&history.lists(revision, route_lead));
                }
                Step::Watch { view } => {
                    let view = &mut views[view];
                    if view.loaded {
                        view.merge(&history.watch(view.revision));
                    }
                }
                Step::PushChange { view, index } => {
                    if !history.0.is_empty() {
                        views[view].apply(&history.0[index % history.0.len()]);
                    }
                }
                Step::RequestPatch { from, to } => {
                    in_flight.extend(views[from].patch(views[to].revision).map(|p| (to, p)));
                }
                Step::DeliverPatch { index } => {
                    if !in_flight.is_empty() {
                        let (to, patch) = &in_flight[index % in_flight.len()];
                        let would_change = views[*to].would_change(patch);
                        let merged = views[*to].merge(patch);
                        prop_assert!(would_change || merged == MergeResult::default());
                    }
                }
            }
            for (view, (revision, live_before)) in views.iter().zip(before) {
                check_applied(&history, view)?;
                prop_assert!(view.revision >= revision);
                for (key, version) in live_versions(view) {
                    prop_assert!(live_before.get(&key).is_none_or(|old| version >= *old));
                }
            }
        }
        // Finally, one view reads the store and the others request a patch from it.
        views[0].merge_lists(&history.lists(history.revision(), 0));
        for to in 1..VIEWS {
            let patch = views[0].patch(views[to].revision).unwrap();
            let bytes = patch.to_bytes().unwrap();
            let merged = views[to].merge(&ConfigPatch::from_bytes(&bytes).unwrap());
            prop_assert!(!merged.gap);
        }
        let last = history.last(history.revision());
        let expected: BTreeMap<_, _> = last
            .values()
            .filter(|change| change.object.is_some())
            .map(|c| ((c.kind.as_str(), c.name.clone()), c.revision))
            .collect();
        for view in &views {
            prop_assert_eq!(view.revision, history.revision());
            prop_assert_eq!(&live_versions(view), &expected);
        }
    }
}

#[test]
fn unreadable_change_keeps_the_previous_value_and_is_forwarded_to_peers() {
    let mut history = History::default();
    history.record(kind::CONTRACT, "a", true);
    let mut view = ConfigView::default();
    view.merge_lists(&history.lists(1, 0));
    history.record(kind::CONTRACT, "a", true);
    history.0[1].object.as_mut().unwrap().value = json!({"rate": "fast"});
    view.merge(&history.watch(1));
    assert_eq!(view.contracts["a"].rate, 1.0);
    assert_eq!(view.unreadable.len(), 1);
    assert_eq!(view.patch(1).unwrap().changes.len(), 1);
    history.record(kind::CONTRACT, "a", true);
    view.merge(&history.watch(2));
    assert_eq!((view.contracts["a"].rate, view.unreadable.len()), (3.0, 0));
}

#[test]
fn patch_from_sender_with_fewer_kinds_keeps_objects_of_other_kinds() {
    let mut history = History::default();
    history.record(kind::CONTRACT, "a", true);
    let mut view = ConfigView::default();
    view.merge_lists(&history.lists(1, 0));
    history.record(kind::ROUTE, "a", true);
    let patch_with_fewer_kinds = ConfigPatch {
        after: 0,
        revision: 2,
        kinds: vec![kind::ROUTE.to_owned()],
        changes: vec![history.0[1].clone()],
    };
    view.merge(&patch_with_fewer_kinds);
    assert!(view.contracts.contains_key("a") && view.routes.contains_key("a"));
    assert_eq!(view.revision, 1);
}

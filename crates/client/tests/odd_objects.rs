//! Guards against one odd object in a list of the store that makes the other objects unreadable.

use magnoliahatch_client::config_view::ConfigView;
use magnoliahatch_client::objects::kind;
use magnoliahatch_client::objects::lenient;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

const SEED: [u8; 32] = *b"odd objects of the store, seed 1";

fn object(name: &str, value: &str) -> String {
    format!(
        r#"{{"kind":"{}","name":"{name}","version":3,"change_id":"c","value":{value}}}"#,
        kind::CONTRACT
    )
}

fn good(name: &str) -> String {
    object(name, r#"{"rate":5,"burst":1,"max_age_ms":0}"#)
}

fn odd_values() -> Vec<String> {
    let nested = |levels: usize| format!("{}{}", "[".repeat(levels), "]".repeat(levels));
    vec![
        nested(200),
        nested(200_000),
        "1e400".to_owned(),
        "-1e400".to_owned(),
        "123456789012345678901234567890".to_owned(),
        r#"{"rate":-1,"burst":1e999,"max_age_ms":0}"#.to_owned(),
        r#"{"rate":18446744073709551616,"burst":1,"max_age_ms":-1}"#.to_owned(),
        "null".to_owned(),
        "[]".to_owned(),
    ]
}

#[test]
fn odd_value_leaves_the_other_objects_in_use() {
    for value in odd_values() {
        let objects = [good("a"), object("odd", &value), good("b")].join(",");
        let text = format!(r#"{{"revision":9,"objects":[{objects}]}}"#);
        let list = lenient::object_list(&text).expect("the list is readable");
        let mut view = ConfigView::default();
        view.merge_lists(&[(kind::CONTRACT, list)]);
        let start: String = value.chars().take(40).collect();
        assert!(view.contracts.contains_key("a"), "{start}");
        assert!(view.contracts.contains_key("b"), "{start}");
    }
}

#[test]
fn odd_change_leaves_the_other_changes_in_use() {
    for value in odd_values() {
        let change = |name: &str, object: &str| {
            format!(
                r#"{{"kind":"{}","name":"{name}","revision":3,"object":{object}}}"#,
                kind::CONTRACT
            )
        };
        let changes = [
            change("a", &good("a")),
            change("odd", &object("odd", &value)),
            change("b", &good("b")),
        ]
        .join(",");
        let text = format!(r#"{{"revision":9,"changes":[{changes}]}}"#);
        let list = lenient::change_list(&text).expect("the list is readable");
        let mut view = ConfigView::default();
        for change in &list.changes {
            view.apply(change);
        }
        assert!(view.contracts.contains_key("a") && view.contracts.contains_key("b"));
    }
}

/// Replaces a few bytes of one good object; the others must stay readable as long as the list is
/// still valid JSON.
#[test]
fn mutated_object_leaves_the_others_in_use() {
    println!("seed {SEED:?}");
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(2000), rng);
    let edits = proptest::collection::vec((any::<prop::sample::Index>(), any::<char>()), 1..4);
    runner
        .run(&edits, |edits| {
            let mut odd: Vec<char> = good("odd").chars().collect();
            for (index, character) in edits {
                let index = index.index(odd.len());
                odd[index] = character;
            }
            let odd: String = odd.into_iter().collect();
            let text = format!(
                r#"{{"revision":9,"objects":[{},{odd},{}]}}"#,
                good("a"),
                good("b")
            );
            let is_json = serde_json::from_str::<serde::de::IgnoredAny>(&text).is_ok();
            match lenient::object_list(&text) {
                Ok(list) => {
                    let named = |name: &str| list.objects.iter().any(|o| o.name == name);
                    prop_assert!(named("a") && named("b"));
                }
                Err(error) => prop_assert!(!is_json, "{error}"),
            }
            Ok(())
        })
        .expect("no odd object affects the others");
}

//! Tests of renewing a view's age by the store's revision alone.

use std::time::Duration;

use magnoliahatch_gateway::model::kind::ObjectKind;
use magnoliahatch_gateway::model::object::Listing;
use magnoliahatch_gateway::view::view_state::ViewState;

const KIND: ObjectKind = ObjectKind::Primaries;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A view must not count as current if the store has changed since the list, or was never listed.
/// Its age must be renewed while the store has not changed.
#[test]
fn list_is_current_while_the_store_has_its_revision() {
    let mut view = ViewState::default();
    assert!(!view.on_revision(KIND, 0, millis(100)));
    assert_eq!(view.age(&[KIND], millis(100)), None);
    let listing = Listing {
        objects: Vec::new(),
        revision: 7,
    };
    view.on_listing(KIND, listing, millis(200), millis(210));
    assert!(view.on_revision(KIND, 7, millis(700)));
    assert_eq!(view.age(&[KIND], millis(900)), Some(millis(200)));
    assert!(!view.on_revision(KIND, 8, millis(1200)));
    assert_eq!(view.age(&[KIND], millis(1300)), Some(millis(600)));
}

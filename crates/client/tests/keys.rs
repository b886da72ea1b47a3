//! Guards against verification that accepts wrong keys or rejects valid ones, and against hashes
//! that contain the key.

use magnoliahatch_client::keys;
use magnoliahatch_client::objects::contract::Contract;

#[test]
fn key_matches_only_its_own_hash() {
    let (first, second) = (keys::create(), keys::create());
    assert!(first.hash.matches(&first.key));
    assert!(!first.hash.matches(&second.key));
    assert!(!first.hash.matches(""));
    assert!(!first.hash.matches(&first.hash.hash));
    assert_ne!(first.hash.salt, second.hash.salt);
    let stored = serde_json::to_string(&first.hash).unwrap();
    let secret = first.key.splitn(3, '_').nth(2).unwrap();
    assert!(secret.len() >= 40 && !stored.contains(secret));
}

#[test]
fn withdrawn_key_no_longer_authenticates() {
    let (first, second) = (keys::create(), keys::create());
    let mut contract: Contract =
        serde_json::from_str(r#"{"rate": 1, "burst": 1, "max_age_ms": 0}"#).unwrap();
    contract.keys = vec![first.hash.clone(), second.hash.clone()];
    assert_eq!(contract.authenticate(&second.key), Some(&second.hash.id));
    contract.keys.pop();
    assert_eq!(contract.authenticate(&second.key), None);
    assert!(!contract.has_key(&second.hash.id) && contract.has_key(&first.hash.id));
}

#[test]
fn damaged_hash_matches_nothing() {
    let created = keys::create();
    for hash in ["", "not base64!", "AAAA"] {
        let mut damaged = created.hash.clone();
        damaged.hash = hash.to_owned();
        assert!(!damaged.matches(&created.key));
    }
}

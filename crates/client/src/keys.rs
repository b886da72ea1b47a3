//! Creates and verifies the keys of organisations.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use magnoliahatch_core::ids::KeyId;
use rand::Rng;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::objects::contract::Contract;
use crate::objects::key_hash::KeyHash;

/// Random bytes in a key. 256 bits cannot be guessed, so a fast hash is sufficient.
const KEY_BYTES: usize = 32;
const SALT_BYTES: usize = 16;
/// Prefix by which secret scanners recognise leaked keys.
const KEY_PREFIX: &str = "mgh";

/// A new key and the hash that is stored in the contract.
#[derive(Debug)]
pub struct CreatedKey {
    /// Shown to the operator once and not stored.
    pub key: String,
    pub hash: KeyHash,
}

/// Creates a key with a generator that the operating system seeds.
pub fn create() -> CreatedKey {
    let mut rng = rand::rng();
    let id = format!("{:012x}", rng.random::<u64>() >> 16);
    let secret = URL_SAFE_NO_PAD.encode(rng.random::<[u8; KEY_BYTES]>());
    let key = format!("{KEY_PREFIX}_{id}_{secret}");
    let salt = URL_SAFE_NO_PAD.encode(rng.random::<[u8; SALT_BYTES]>());
    let hash = URL_SAFE_NO_PAD.encode(salted_digest(&salt, &key));
    CreatedKey {
        key,
        hash: KeyHash { id, salt, hash },
    }
}

impl KeyHash {
    /// Whether the hash belongs to this key. Hashes are compared in constant time.
    pub fn matches(&self, key: &str) -> bool {
        let Ok(expected) = URL_SAFE_NO_PAD.decode(&self.hash) else {
            return false;
        };
        salted_digest(&self.salt, key).ct_eq(&expected).into()
    }
}

impl Contract {
    /// Returns the identifier of the contract's key that matches this one. A session stores it and
    /// ends once [`Contract::has_key`] returns false for it.
    pub fn authenticate(&self, key: &str) -> Option<&KeyId> {
        self.keys
            .iter()
            .find(|hash| hash.matches(key))
            .map(|hash| &hash.id)
    }

    /// Whether the contract still contains a key, that is, whether it has not been withdrawn.
    pub fn has_key(&self, id: &str) -> bool {
        self.keys.iter().any(|hash| hash.id == id)
    }
}

fn salted_digest(salt: &str, key: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(salt);
    hasher.update(key);
    hasher.finalize().into()
}

//! Creation and verification of organisations' keys.

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use magnoliahatch_core::ids::KeyId;
use rand::Rng;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::objects::contract::Contract;
use crate::objects::key_hash::KeyHash;

/// Random bytes in a key. 256 bits cannot be guessed, so a fast hash is enough.
const KEY_BYTES: usize = 32;
const SALT_BYTES: usize = 16;
/// Marks keys, so that scanners for leaked credentials can find them.
const PREFIX: &str = "mgh";

/// A new key and the hash that the contract keeps.
#[derive(Debug)]
pub struct CreatedKey {
    /// Shown once to the operator and kept nowhere.
    pub key: String,
    pub hash: KeyHash,
}

/// Creates a key from the operating system's random numbers.
pub fn create() -> CreatedKey {
    let mut rng = rand::rng();
    let id = format!("{:012x}", rng.random::<u64>() >> 16);
    let secret = URL_SAFE_NO_PAD.encode(rng.random::<[u8; KEY_BYTES]>());
    let key = format!("{PREFIX}_{id}_{secret}");
    let salt = URL_SAFE_NO_PAD.encode(rng.random::<[u8; SALT_BYTES]>());
    let hash = URL_SAFE_NO_PAD.encode(digest(&salt, &key));
    CreatedKey {
        key,
        hash: KeyHash { id, salt, hash },
    }
}

impl KeyHash {
    /// Whether the hash belongs to this key. The time taken does not depend on the bytes compared.
    pub fn matches(&self, key: &str) -> bool {
        let Ok(expected) = URL_SAFE_NO_PAD.decode(&self.hash) else {
            return false;
        };
        digest(&self.salt, key).ct_eq(&expected).into()
    }
}

impl Contract {
    /// Identifier of the contract's key that equals this one. A session keeps it and ends when
    /// [`Contract::has_key`] no longer holds.
    pub fn authenticate(&self, key: &str) -> Option<&KeyId> {
        self.keys
            .iter()
            .find(|hash| hash.matches(key))
            .map(|hash| &hash.id)
    }

    /// Whether a key has not been withdrawn.
    pub fn has_key(&self, id: &str) -> bool {
        self.keys.iter().any(|hash| hash.id == id)
    }
}

fn digest(salt: &str, key: &str) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(salt);
    hasher.update(key);
    hasher.finalize().into()
}

//! Identifiers by which a writer recognises its own change.

use magnoliahatch_core::ids::ChangeId;
use rand::Rng;

/// Returns a random identifier; with 128 bits, a collision between writers is negligible.
pub fn generate() -> ChangeId {
    format!("{:032x}", rand::rng().random::<u128>())
}

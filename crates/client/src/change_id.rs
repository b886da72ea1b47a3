//! Identifiers by which a writer recognises its own change.

use magnoliahatch_core::ids::ChangeId;
use rand::Rng;

/// Draws an identifier; 128 random bits make a collision between writers negligible.
pub fn draw() -> ChangeId {
    format!("{:032x}", rand::rng().random::<u128>())
}

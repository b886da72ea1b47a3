//! Revisions of a store that may come back from an older copy.
//!
//! Each time that it does, its era rises by one and its revisions go back. A `Revision` of this crate
//! holds the era above the store's own revision, so that comparing two of them orders what the store
//! said. A store without eras has era 0.

use magnoliahatch_core::ids::Revision;

/// Number of times that the store has come back from a copy, counted by the store.
pub type Era = u64;

/// Number of bits for the store's own revision. With the bits above them for eras, the sum stays in
/// the range of integers that JSON readers keep exactly, for the first 8192 eras.
const REVISION_BITS: u32 = 40;
const REVISION_MASK: Revision = (1 << REVISION_BITS) - 1;

/// Returns the revision that orders a store's revision among those of other eras.
pub fn in_era(era: Era, revision: Revision) -> Revision {
    (era << REVISION_BITS) | (revision & REVISION_MASK)
}

/// Returns the era of a revision.
pub fn era(revision: Revision) -> Era {
    revision >> REVISION_BITS
}

/// Returns the store's own revision.
pub fn own(revision: Revision) -> Revision {
    revision & REVISION_MASK
}

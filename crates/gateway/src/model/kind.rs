//! Kinds of objects in the platform's store.

use serde::Deserialize;
use serde::Serialize;

/// A kind of object.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ObjectKind {
    Configuration,
    Members,
    Evacuations,
    Hosts,
    Primaries,
    /// Not among `ALL`: only the hosts that may carry the duty read these, and no host keeps a copy.
    Duties,
}

impl ObjectKind {
    /// The kinds of which every host keeps a copy.
    pub const ALL: [Self; 5] = [
        Self::Configuration,
        Self::Members,
        Self::Evacuations,
        Self::Hosts,
        Self::Primaries,
    ];
}

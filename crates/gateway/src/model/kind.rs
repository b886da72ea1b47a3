//! Kinds of objects in the platform's store.

use serde::Deserialize;
use serde::Serialize;

/// A kind of object of which every host keeps a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ObjectKind {
    Configuration,
    Members,
    Evacuations,
    Hosts,
    Primaries,
}

impl ObjectKind {
    pub const ALL: [Self; 5] = [
        Self::Configuration,
        Self::Members,
        Self::Evacuations,
        Self::Hosts,
        Self::Primaries,
    ];
}

//! Configuration changes that one daemon sends to another.

use magnoliahatch_core::ids::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::change::Change;

/// All changes after revision `after` up to `revision`. With `after` 0 the patch is complete: an
/// object of one of its kinds that it does not contain does not exist at `revision`.
///
/// Object values are JSON, which postcard cannot deserialize, so a frame carries
/// [`Self::to_bytes`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigPatch {
    pub after: Revision,
    pub revision: Revision,
    /// Kinds that the sender stores. A sender of another software version may know fewer kinds
    /// than the receiver.
    pub kinds: Vec<String>,
    /// Latest change of each object, in order of revision.
    pub changes: Vec<Change>,
}

impl ConfigPatch {
    /// Encodes the patch as JSON.
    pub fn to_bytes(&self) -> Result<Vec<u8>, serde_json::Error> {
        serde_json::to_vec(self)
    }

    /// Decodes what [`Self::to_bytes`] wrote.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }
}

/// Result of merging a patch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// The merge changed the view.
    pub changed: bool,
    /// Changes between the view's revision and the patch's `after` are missing and must be
    /// requested.
    pub gap: bool,
}

//! Changes of the configuration that one daemon hands to another.

use magnoliahatch_core::ids::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::objects::change::Change;

/// Every change after one revision up to another. With `after` 0 it is complete: an object of a
/// covered kind that it does not contain does not exist at `revision`.
///
/// Object values are JSON, which postcard cannot read back, so a frame carries [`Self::to_bytes`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigPatch {
    pub after: Revision,
    pub revision: Revision,
    /// Kinds that the sender keeps. A sender of another version may know fewer than the receiver.
    pub kinds: Vec<String>,
    /// Last change of each object, in order of revision.
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

/// What merging a patch did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Merged {
    /// The view differs from before.
    pub changed: bool,
    /// Changes between the view's revision and the patch are missing; they must be asked for.
    pub gap: bool,
}

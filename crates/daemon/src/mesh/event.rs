//! Configuration messages, for the part that keeps the configuration view.

use magnoliahatch_client::config_patch::ConfigPatch;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Revision;

/// A configuration message from a peer. `request` pairs a push with the pull it answers.
#[derive(Debug, Clone, PartialEq)]
pub enum MeshEvent {
    /// The peer asks for all changes after a revision.
    ConfigPull {
        from: HostId,
        request: u64,
        after: Revision,
    },
    ConfigPush {
        from: HostId,
        request: u64,
        changes: ConfigPatch,
    },
}

//! Configuration messages that the mesh passes to the configuration exchange.

use magnoliahatch_client::config_patch::ConfigPatch;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Revision;

/// A configuration message from a peer. `request` matches a push to the pull that it answers.
#[derive(Debug, Clone, PartialEq)]
pub enum MeshEvent {
    /// The peer requests all changes after a revision.
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

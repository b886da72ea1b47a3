//! Recently removed objects of one kind, so that a peer's copy can be updated without the names of
//! all objects.

use std::collections::VecDeque;

use magnoliahatch_core::ids::Revision;

/// Number of removals that are remembered. Peers ask about once a second; a copy that lacks more
/// removals gets the names of all objects.
const MAX_REMOVALS: usize = 256;

/// Removals by the revision up to which they had happened, in order.
#[derive(Debug, Clone, Default)]
pub struct RemovalLog {
    /// All removals after this revision are in the log, but for those of objects that exist again.
    complete_since: Revision,
    removals: VecDeque<(Revision, String)>,
}

impl RemovalLog {
    /// Forgets all removals, since those before `revision` are not known completely.
    pub fn restart(&mut self, revision: Revision) {
        self.removals.clear();
        self.complete_since = revision;
    }

    /// Records that an object was removed at `revision` or before.
    pub fn on_removed(&mut self, name: String, revision: Revision) {
        if self.removals.len() >= MAX_REMOVALS
            && let Some((oldest, _)) = self.removals.pop_front()
        {
            self.complete_since = self.complete_since.max(oldest);
        }
        self.removals.push_back((revision, name));
    }

    /// Records that an object exists.
    pub fn on_set(&mut self, name: &str) {
        self.removals.retain(|(_, removed)| removed != name);
    }

    /// Names of the objects that were removed after `revision`, or `None` if not all are known.
    pub fn since(&self, revision: Revision) -> Option<Vec<String>> {
        if revision < self.complete_since {
            return None;
        }
        let removals = self.removals.iter().filter(|(at, _)| *at > revision);
        Some(removals.map(|(_, name)| name.clone()).collect())
    }
}

//! The processes of the registered hosts, and when others ended.

use std::collections::BTreeMap;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;

use crate::model::object::Content;
use crate::model::object::Object;

/// What the list of hosts has shown so far.
#[derive(Debug, Clone, Default)]
pub struct HostProcesses {
    /// The process of each registered host, and when it was first seen registered.
    registered: BTreeMap<HostId, (Incarnation, Duration)>,
    /// When the process of a registered host was last replaced or removed.
    last_end: Option<Duration>,
    /// When the registration of a host that was not leaving was last removed.
    last_removal: Option<Duration>,
}

impl HostProcesses {
    /// Applies a list of hosts, from which `removed` are missing that were in the one before.
    pub fn on_list(
        &mut self,
        present: BTreeMap<HostId, Incarnation>,
        removed: &[Object],
        now: Duration,
    ) {
        let staying = |o: &Object| matches!(&o.content, Some(Content::Host(h)) if !h.leaving);
        if removed.iter().any(staying) {
            self.last_removal = Some(now);
        }
        let mut known = self.registered.iter();
        if known.any(|(id, (incarnation, _))| present.get(id) != Some(incarnation)) {
            self.last_end = Some(now);
        }
        let since = |id: &HostId, incarnation| self.since(id, incarnation).unwrap_or(now);
        let present = present.into_iter();
        self.registered = present
            .map(|(id, incarnation)| {
                let since = since(&id, incarnation);
                (id, (incarnation, since))
            })
            .collect();
    }

    /// When a process was first seen registered, if it is registered now.
    pub fn since(&self, host: &str, incarnation: Incarnation) -> Option<Duration> {
        let (registered, since) = self.registered.get(host)?;
        (*registered == incarnation).then_some(*since)
    }

    /// When the process of a registered host was last replaced or removed.
    pub fn last_end(&self) -> Option<Duration> {
        self.last_end
    }

    /// When the registration of a host that was not leaving was last removed.
    pub fn last_unexpected_removal(&self) -> Option<Duration> {
        self.last_removal
    }
}

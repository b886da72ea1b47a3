//! Bounds the number of client connections.

use std::collections::BTreeSet;

use crate::policy::client_budget::HolderId;

/// What to do with a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    Admit,
    /// Admit it and close this connection, which has waited longest without a complete start message.
    Replace(HolderId),
    Refuse,
}

/// The open connections of clients.
#[derive(Debug)]
pub struct ConnectionCount {
    max_connections: usize,
    max_starting: usize,
    open: BTreeSet<HolderId>,
    /// Connections without a complete start message. Ids increase with time.
    starting: BTreeSet<HolderId>,
}

impl ConnectionCount {
    pub fn new(max_connections: usize, max_starting: usize) -> Self {
        Self {
            max_connections,
            max_starting,
            open: BTreeSet::new(),
            starting: BTreeSet::new(),
        }
    }

    /// Number of open connections.
    pub fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Decides on a new connection and counts it unless it is refused. A replaced connection no longer
    /// counts.
    pub fn enter(&mut self, id: HolderId) -> Entry {
        let is_full = self.open.len() >= self.max_connections;
        let replaces = is_full || self.starting.len() >= self.max_starting;
        let replaced = if replaces {
            self.starting.pop_first()
        } else {
            None
        };
        if let Some(replaced) = replaced {
            self.open.remove(&replaced);
        } else if is_full {
            return Entry::Refuse;
        }
        self.open.insert(id);
        self.starting.insert(id);
        replaced.map_or(Entry::Admit, Entry::Replace)
    }

    /// Records that a connection's start message is complete.
    pub fn on_started(&mut self, id: HolderId) {
        self.starting.remove(&id);
    }

    /// Records that a connection ended.
    pub fn leave(&mut self, id: HolderId) {
        self.open.remove(&id);
        self.starting.remove(&id);
    }
}

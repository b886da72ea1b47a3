//! Recognises the process at the other end of a connection.
//!
//! All members of a group have one address each for all daemons, so the delay between two data
//! centres cannot follow from the link alone.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::fault::source::Source;

/// Known processes by name; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Sources(Arc<Mutex<BTreeMap<String, Source>>>);

impl Sources {
    /// Adds a process, or replaces the one of this name.
    pub fn set(&self, name: String, source: Source) {
        self.lock().insert(name, source);
    }

    /// Name of the process that opened a TCP connection from `peer` on this machine.
    pub async fn of_tcp(&self, peer: SocketAddr) -> Option<String> {
        let sources = self.lock().clone();
        let find = move || {
            let socket = format!("socket:[{}]", inode(peer)?);
            let found = sources
                .iter()
                .find(|(_, source)| holds(source.process, &socket));
            found.map(|(name, _)| name.clone())
        };
        tokio::task::spawn_blocking(find).await.ok().flatten()
    }

    /// Name of the process that sends datagrams from `peer`.
    pub fn of_udp(&self, peer: SocketAddr) -> Option<String> {
        let sources = self.lock();
        let found = sources.iter().find(|(_, source)| source.udp == Some(peer));
        found.map(|(name, _)| name.clone())
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Source>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Inode of the TCP socket with this local address.
fn inode(local: SocketAddr) -> Option<String> {
    let SocketAddr::V4(local) = local else {
        return None;
    };
    let wanted = proc_form(local);
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let mut lines = table.lines().map(|line| line.split_whitespace());
    let mut line = lines.find(|line| line.clone().nth(1) == Some(&wanted))?;
    line.nth(9).map(str::to_owned)
}

/// Address as /proc/net/tcp writes it: the four bytes as a number of this machine.
fn proc_form(address: SocketAddrV4) -> String {
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

fn holds(process: u32, socket: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    files
        .flatten()
        .filter_map(|file| fs::read_link(file.path()).ok())
        .any(|target| target == Path::new(socket))
}

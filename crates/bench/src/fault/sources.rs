//! Identifies the local process that opened a connection to a link.
//!
//! All daemons reach a member through the same address, so the link alone does not determine the
//! delay between two data centres.

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::fault::socket_inode;
use crate::fault::source::Source;

/// Registered processes by name. Clones share the same entries.
#[derive(Debug, Clone, Default)]
pub struct Sources(Arc<Mutex<BTreeMap<String, Source>>>);

impl Sources {
    /// Registers a process under a name, replacing any earlier entry of that name.
    pub fn set(&self, name: String, source: Source) {
        self.lock().insert(name, source);
    }

    /// Returns which of the processes in `names` opened the TCP connection from `peer` to `listen`.
    /// Only processes on this machine and IPv4 connections are identified.
    pub async fn find_tcp_client(
        &self,
        peer: SocketAddr,
        listen: SocketAddr,
        names: Vec<String>,
    ) -> Option<String> {
        let (SocketAddr::V4(peer), SocketAddr::V4(listen)) = (peer, listen) else {
            return None;
        };
        let mut sources = self.lock().clone();
        sources.retain(|name, _| names.contains(name));
        let find = move || {
            let inode = match socket_inode::find(peer, listen) {
                Ok(inode) => inode?,
                Err(error) => {
                    tracing::error!(event = 501, %error, "cannot identify the process of a TCP connection");
                    return None;
                }
            };
            find_socket_owner(&sources, inode)
        };
        tokio::task::spawn_blocking(find).await.ok().flatten()
    }

    /// Returns the process that sends datagrams from `peer`: the one registered with this UDP
    /// address, or else the one that owns a UDP socket with this port.
    pub async fn find_udp_client(&self, peer: SocketAddr) -> Option<String> {
        let sources = self.lock().clone();
        let found = sources.iter().find(|(_, source)| source.udp == Some(peer));
        if let Some((name, _)) = found {
            return Some(name.clone());
        }
        let find = move || match socket_inode::find_udp(peer.port()) {
            Ok(Some(inode)) => find_socket_owner(&sources, inode),
            Ok(None) => None,
            Err(error) => {
                tracing::error!(event = 501, %error, "cannot identify the process that sent a datagram");
                None
            }
        };
        tokio::task::spawn_blocking(find).await.ok().flatten()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Source>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the registered process that has the socket open.
fn find_socket_owner(sources: &BTreeMap<String, Source>, inode: u32) -> Option<String> {
    let socket = format!("socket:[{inode}]");
    let mut sources = sources.iter();
    let found = sources.find(|(_, source)| has_socket(source.process, &socket));
    found.map(|(name, _)| name.clone())
}

fn has_socket(process: u32, socket: &str) -> bool {
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else {
        return false;
    };
    files
        .flatten()
        .filter_map(|file| fs::read_link(file.path()).ok())
        .any(|target| target == Path::new(socket))
}

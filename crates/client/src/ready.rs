//! The line that each server prints on standard output once its sockets are bound.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Names the bound addresses, so that settings may ask for port 0.
#[derive(Debug, Serialize, Deserialize)]
pub struct Ready {
    pub ready: bool,
    pub listen: BTreeMap<String, SocketAddr>,
}

impl Ready {
    /// Collects the addresses by the name of each socket, for instance `sql` or `admin`.
    pub fn new(listen: impl IntoIterator<Item = (&'static str, SocketAddr)>) -> Self {
        let listen = listen
            .into_iter()
            .map(|(name, addr)| (name.to_owned(), addr))
            .collect();
        Self {
            ready: true,
            listen,
        }
    }

    /// Prints the line and flushes it.
    pub fn print(&self) -> std::io::Result<()> {
        let mut out = std::io::stdout().lock();
        serde_json::to_writer(&mut out, self)?;
        out.write_all(b"\n")?;
        out.flush()
    }
}

//! Readiness line that each server prints to standard output once its sockets are bound.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Reports the bound addresses, so that settings may use port 0 to let the system choose a port.
#[derive(Debug, Serialize, Deserialize)]
pub struct Ready {
    pub ready: bool,
    pub listen: BTreeMap<String, SocketAddr>,
}

impl Ready {
    /// Creates the line from the name of each socket, such as `sql` or `admin`, and its address.
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

    /// Prints the line as JSON and flushes standard output.
    pub fn print(&self) -> std::io::Result<()> {
        let mut out = std::io::stdout().lock();
        serde_json::to_writer(&mut out, self)?;
        out.write_all(b"\n")?;
        out.flush()
    }
}

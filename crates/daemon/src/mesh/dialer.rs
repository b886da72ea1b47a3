//! Local socket for outbound connections.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use quinn::ClientConfig;
use quinn::Endpoint;
use tracing::info;
use tracing::warn;

/// Minimum time between two changes of the socket. Otherwise each attempt to reach a peer that
/// stays down would open a socket.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(5);

/// Provides the socket that all outbound connections share.
///
/// A stateful device between two hosts, for example a firewall that lost track of a flow, may drop
/// all packets between two address and port pairs permanently. A reconnect from the same port would
/// then fail too, so it uses another port.
#[derive(Debug)]
pub(crate) struct Dialer {
    ip: IpAddr,
    config: ClientConfig,
    current: Mutex<Current>,
}

#[derive(Debug)]
struct Current {
    endpoint: Endpoint,
    changed: Option<Instant>,
}

impl Dialer {
    /// Starts with the socket that also accepts inbound connections.
    pub(crate) fn new(endpoint: Endpoint, ip: IpAddr, config: ClientConfig) -> Self {
        let current = Current {
            endpoint,
            changed: None,
        };
        Self {
            ip,
            config,
            current: Mutex::new(current),
        }
    }

    /// Endpoint for new connections.
    pub(crate) fn endpoint(&self) -> Endpoint {
        let current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        current.endpoint.clone()
    }

    /// Switches to another port after a connection from `silent` timed out. Open connections keep
    /// their port. Does nothing if the port has already changed, or if the last change was less
    /// than [`MIN_CHANGE_INTERVAL`] ago.
    pub(crate) fn change_port(&self, silent: &Endpoint) {
        let mut current = self.current.lock().unwrap_or_else(PoisonError::into_inner);
        let port = |endpoint: &Endpoint| endpoint.local_addr().map(|address| address.port()).ok();
        let now = Instant::now();
        let recent = current
            .changed
            .is_some_and(|at| now < at + MIN_CHANGE_INTERVAL);
        if recent || port(&current.endpoint) != port(silent) {
            return;
        }
        match Endpoint::client(SocketAddr::new(self.ip, 0)) {
            Ok(mut endpoint) => {
                endpoint.set_default_client_config(self.config.clone());
                info!(event = 316, port = ?port(&endpoint), "switched to another port for control connections");
                *current = Current {
                    endpoint,
                    changed: Some(now),
                };
            }
            Err(error) => {
                warn!(event = 317, %error, "cannot open another port for control connections");
            }
        }
    }
}

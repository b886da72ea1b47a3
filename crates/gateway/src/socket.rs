//! Socket options of TCP connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// A connection is closed if data or keepalive probes stay unacknowledged for this long: a peer
/// that lost power or network sends no reset.
const USER_TIMEOUT: Duration = Duration::from_millis(2000);
/// Idle time after which the kernel sends a keepalive probe, and the interval of further probes.
const KEEPALIVE_TIME: Duration = Duration::from_secs(1);

/// Connects within a time limit and sets the socket options.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    set_options(&stream)?;
    Ok(stream)
}

/// Sets the socket options of a connection.
pub fn set_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_TIME)
            .with_interval(KEEPALIVE_TIME),
    )
}

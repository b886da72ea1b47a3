//! Socket options of connections between processes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Unacknowledged data or probes for this long end a connection: a dark or cut-off peer sends no
/// reset.
const USER_TIMEOUT: Duration = Duration::from_millis(2000);
/// Silence after which the kernel probes.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Connects within a limit and sets the options.
pub async fn connect(address: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = tokio::time::timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    prepare(&stream)?;
    Ok(stream)
}

/// Sets the options of a connection.
pub fn prepare(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE)
            .with_interval(KEEPALIVE),
    )
}

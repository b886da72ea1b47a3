//! HTTP calls that must not be executed after their deadline.
//!
//! TCP repeats unacknowledged bytes until they arrive, also after the sender has closed the
//! connection. A call that was given up while its path was cut could so be executed seconds later,
//! after the calls of another host. Each call has a connection of its own for this reason, and a call
//! without a complete answer resets it, which discards the bytes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpSocket;

use crate::bounded_call_error::BoundedCallError;
use crate::clock;

/// Interval at which the deadline is compared with the clock. A timer alone does not count the time
/// for which the host is suspended.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The kernel needs a limit above zero.
const MIN_UNACKNOWLEDGED_TIME: Duration = Duration::from_millis(1);

/// Sends a request on a new connection and returns the status of the answer. After `deadline`, a
/// time of [`clock::now`], nothing of the request is sent any more.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline: Duration,
) -> Result<StatusCode, BoundedCallError> {
    tokio::select! {
        // The process may have been suspended until after the deadline.
        biased;
        () = wait_until(deadline) => Err(BoundedCallError::DeadlinePassed),
        status = exchange(address, request, deadline) => status,
    }
}

async fn wait_until(deadline: Duration) {
    loop {
        let left = deadline.saturating_sub(clock::now());
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(DEADLINE_CHECK_INTERVAL)).await;
    }
}

async fn exchange(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    deadline: Duration,
) -> Result<StatusCode, BoundedCallError> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // The connection is reset when it is dropped, also by the end of the process.
    socket.set_zero_linger()?;
    socket.set_nodelay(true)?;
    // The kernel gives up by itself while the process is suspended.
    let left = deadline.saturating_sub(clock::now());
    let limit = left.max(MIN_UNACKNOWLEDGED_TIME);
    SockRef::from(&socket).set_tcp_user_timeout(Some(limit))?;
    let stream = socket.connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let answer = async move {
        let mut response = sender.send_request(request).await?;
        // The answer's content is not used, but it must arrive before the connection is closed.
        while let Some(frame) = response.frame().await {
            frame?;
        }
        Ok::<_, hyper::Error>(response.status())
    };
    let (answer, closed) = futures::join!(answer, connection.without_shutdown());
    let status = answer?;
    if let Ok(parts) = closed {
        // Everything was received, so the connection ends without a reset.
        SockRef::from(&parts.io.into_inner()).set_linger(None)?;
    }
    Ok(status)
}

//! Accepts client connections.

use std::io::Write;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::codec::Encoder;

use crate::front::client_connection::ALLOWANCE;
use crate::front::session_start;
use crate::model::client_refusal::ClientRefusal;
use crate::model::error_code::ErrorCode;
use crate::model::reply::Reply;
use crate::node::Node;
use crate::platform::Platform;
use crate::policy::connection_count::Entry;
use crate::wire_error::WireError;

/// Delay after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts clients and starts a session for each, until the process ends.
pub async fn serve<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => on_connection(&node, stream),
            Err(error) => {
                tracing::warn!(event = 614, %error, "failed to accept a client connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn on_connection<P: Platform>(node: &Rc<Node<P>>, stream: TcpStream) {
    let held = node.memory.open(ALLOWANCE);
    let entry = node.connections.borrow_mut().enter(held.id());
    match entry {
        Entry::Admit => {}
        Entry::Replace(oldest) => node.memory.close(oldest, ClientRefusal::Starting),
        Entry::Refuse => {
            node.metrics
                .count_client_refusal(ClientRefusal::Connections);
            let open = node.connections.borrow().open_count();
            tracing::warn!(event = 690, open, "client refused: too many connections");
            if let Err(error) = refuse::<P>(stream) {
                tracing::debug!(event = 660, %error, "session ended");
            }
            return;
        }
    }
    tokio::task::spawn_local(session_start::run(node.clone(), stream, held));
}

/// Tells a client that there are too many, and closes the connection without waiting.
fn refuse<P: Platform>(stream: TcpStream) -> Result<(), WireError> {
    let reply = Reply::Error {
        code: ErrorCode::Busy,
        text: Bytes::from_static(b"too many connections"),
    };
    let mut message = BytesMut::new();
    P::ClientCodec::default().encode(reply, &mut message)?;
    // The socket does not block; an empty send buffer takes the whole message.
    stream.into_std()?.write_all(&message)?;
    Ok(())
}

//! Accepts client connections.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::front::session;
use crate::node::Node;
use crate::platform::Platform;

/// Delay after a failed accept, so that running out of file descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts clients and starts a session for each, until the process ends.
pub async fn serve<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(session::run(node.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(event = 614, %error, "failed to accept a client connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

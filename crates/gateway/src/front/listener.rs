//! Accepts clients.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;

use crate::front::session;
use crate::node::Node;
use crate::platform::Platform;

/// Pause after a failed accept, so that a lack of descriptors does not become a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves clients until the process ends.
pub async fn serve<P: Platform>(node: Rc<Node<P>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(session::run(node.clone(), stream));
            }
            Err(error) => {
                tracing::warn!(event = 614, %error, "a connection could not be accepted");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

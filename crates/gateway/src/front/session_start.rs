//! The start and the end of a client's session.

use std::rc::Rc;

use tokio::net::TcpStream;

use crate::front::client_connection::ClientConnection;
use crate::front::credentials::Credentials;
use crate::front::messages::close_for_limit;
use crate::front::messages::ready;
use crate::front::messages::refuse;
use crate::front::session::Session;
use crate::front::session_end::SessionEnd;
use crate::held_bytes::HeldBytes;
use crate::model::client_refusal::ClientRefusal;
use crate::model::error_code::ErrorCode;
use crate::model::request::Request;
use crate::model::transaction_state::TransactionState;
use crate::node::Node;
use crate::platform::Platform;
use crate::socket;

/// Serves a client until the session ends.
pub async fn run<P: Platform>(node: Rc<Node<P>>, stream: TcpStream, held: HeldBytes) {
    let id = held.id();
    node.sessions.set(node.sessions.get() + 1);
    let result = serve(&node, stream, held).await;
    node.sessions.set(node.sessions.get() - 1);
    node.connections.borrow_mut().leave(id);
    if let Err(error) = result {
        tracing::debug!(event = 660, %error, "session ended");
    }
}

async fn serve<P: Platform>(
    node: &Rc<Node<P>>,
    stream: TcpStream,
    held: HeldBytes,
) -> Result<(), SessionEnd> {
    socket::set_options(&stream)?;
    let mut connection = ClientConnection::<P>::new(stream, node.settings.clients, held);
    let result = serve_session(node, &mut connection).await;
    match result {
        Err(SessionEnd::Refused(cause)) => {
            record_refusal(node, cause);
            // A connection that makes room for others does not linger.
            if cause == ClientRefusal::Starting {
                return Ok(());
            }
            close_for_limit::<P>(&mut connection, cause).await
        }
        Err(SessionEnd::Unread(cause)) => {
            record_refusal(node, cause);
            Ok(())
        }
        result => result,
    }
}

fn record_refusal<P: Platform>(node: &Rc<Node<P>>, cause: ClientRefusal) {
    node.metrics.count_client_refusal(cause);
    let held = node.memory.used();
    tracing::info!(event = 691, ?cause, held, "client closed at a limit");
}

async fn serve_session<P: Platform>(
    node: &Rc<Node<P>>,
    connection: &mut ClientConnection<P>,
) -> Result<(), SessionEnd> {
    let start_timeout = node.settings.clients.start_timeout;
    let first = match tokio::time::timeout(start_timeout, connection.next()).await {
        Ok(Some(request)) => request?,
        Ok(None) => return Ok(()),
        // No complete message arrived in time.
        Err(_) => {
            node.metrics.count_client_refusal(ClientRefusal::StartTime);
            Request::Invalid(ErrorCode::Malformed)
        }
    };
    let id = connection.held.id();
    node.connections.borrow_mut().on_started(id);
    let (database, key) = match first {
        Request::Start { database, key } => (database, key),
        Request::Invalid(code) => return refuse::<P>(connection, code).await,
        _ => return refuse::<P>(connection, ErrorCode::Malformed).await,
    };
    let credentials = Credentials::new(node.clone(), &database, &key);
    if let Err(code) = credentials.check() {
        return refuse::<P>(connection, code).await;
    }
    let mut session = Session::new(node.clone(), credentials);
    connection.send(ready(TransactionState::Idle)).await?;
    session.run(connection).await
}

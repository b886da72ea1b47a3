//! Messages that open, refuse and end a session.

use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::model::error_code::ErrorCode;
use crate::model::reply::Reply;
use crate::model::transaction_state::TransactionState;
use crate::platform::Platform;
use crate::wire_error::WireError;

/// How long the host waits for a client to close the connection after the last message.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection to a client, with its messages decoded and encoded.
pub type ClientConnection<P> = Framed<TcpStream, <P as Platform>::ClientCodec>;

/// Tells a client that its session is refused, and closes the connection.
pub async fn refuse<P: Platform>(
    connection: &mut ClientConnection<P>,
    code: ErrorCode,
) -> Result<(), WireError> {
    tracing::info!(event = 646, ?code, "session refused");
    end_session::<P>(connection, code, "session refused").await
}

/// Ends a session because the host stops. A request that the client sends before it receives the
/// message is not run, as the error code says.
pub async fn close_for_stop<P: Platform>(
    connection: &mut ClientConnection<P>,
    code: ErrorCode,
) -> Result<(), WireError> {
    end_session::<P>(connection, code, "the host stops").await
}

/// Sends the last message of a session. The connection is drained until the client closes it:
/// closing with unread data would reset the connection, and the message could be lost.
async fn end_session<P: Platform>(
    connection: &mut ClientConnection<P>,
    code: ErrorCode,
    text: &'static str,
) -> Result<(), WireError> {
    let text = Bytes::from_static(text.as_bytes());
    let closing = async {
        connection.send(Reply::Error { code, text }).await?;
        connection.get_mut().shutdown().await?;
        while connection.next().await.is_some_and(|read| read.is_ok()) {}
        Ok(())
    };
    // After the timeout the connection is closed although the client has not closed its side.
    tokio::time::timeout(CLOSE_TIMEOUT, closing)
        .await
        .unwrap_or(Ok(()))
}

/// The message that tells the client to send the next request.
pub fn ready(state: TransactionState) -> Reply {
    Reply::Ready {
        state,
        position: None,
    }
}

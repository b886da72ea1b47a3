//! First and last messages of a session.

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

/// Time that a client has to close after the last message of a stop.
const CLOSE_LIMIT: Duration = Duration::from_millis(500);

/// Connection of a client.
pub type Wire<P> = Framed<TcpStream, <P as Platform>::ClientCodec>;

/// Refuses a session.
pub async fn refuse<P: Platform>(wire: &mut Wire<P>, code: ErrorCode) -> Result<(), WireError> {
    let text = Bytes::from_static(b"session refused");
    wire.send(Reply::Error { code, text }).await
}

/// Ends a session of a host that stops. A request that crosses this message on its way has not run,
/// as the message says. Closing at once would reset the connection if one has arrived, and the
/// message could be lost.
pub async fn goodbye<P: Platform>(wire: &mut Wire<P>, code: ErrorCode) -> Result<(), WireError> {
    let text = Bytes::from_static(b"the host stops");
    let closing = async {
        wire.send(Reply::Error { code, text }).await?;
        wire.get_mut().shutdown().await?;
        while wire.next().await.is_some_and(|read| read.is_ok()) {}
        Ok(())
    };
    // A client that does not close is left behind.
    tokio::time::timeout(CLOSE_LIMIT, closing)
        .await
        .unwrap_or(Ok(()))
}

/// Announces that the next request is expected.
pub fn ready(state: TransactionState) -> Reply {
    Reply::Ready {
        state,
        position: None,
    }
}

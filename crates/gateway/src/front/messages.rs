//! Messages that open, refuse and end a session.

use std::time::Duration;

use bytes::Bytes;

use crate::front::client_connection::ClientConnection;
use crate::front::session_end::SessionEnd;
use crate::model::client_refusal::ClientRefusal;
use crate::model::error_code::ErrorCode;
use crate::model::outcome::Cause;
use crate::model::reply::Reply;
use crate::model::transaction_state::TransactionState;
use crate::platform::Platform;

/// How long the host waits for a client to close the connection after the last message.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells a client that its session is refused, and closes the connection.
pub async fn refuse<P: Platform>(
    connection: &mut ClientConnection<P>,
    code: ErrorCode,
) -> Result<(), SessionEnd> {
    tracing::info!(event = 646, ?code, "session refused");
    end_session::<P>(connection, code, "session refused").await
}

/// Ends a session because the host stops. A request that the client sends before it receives the
/// message is not run, as the error code says.
pub async fn close_for_stop<P: Platform>(
    connection: &mut ClientConnection<P>,
    code: ErrorCode,
) -> Result<(), SessionEnd> {
    end_session::<P>(connection, code, "the host stops").await
}

/// Ends a session because its client exceeded a limit. Nothing of an incomplete message is run.
pub async fn close_for_limit<P: Platform>(
    connection: &mut ClientConnection<P>,
    refusal: ClientRefusal,
) -> Result<(), SessionEnd> {
    let (code, text) = match refusal {
        ClientRefusal::MessageTime => (
            ErrorCode::Malformed,
            "the message was not completed in time",
        ),
        _ => (ErrorCode::Busy, "the host has no memory for this client"),
    };
    end_session::<P>(connection, code, text).await
}

/// Sends the last message of a session and waits a moment until the client has read it.
async fn end_session<P: Platform>(
    connection: &mut ClientConnection<P>,
    code: ErrorCode,
    text: &'static str,
) -> Result<(), SessionEnd> {
    let text = Bytes::from_static(text.as_bytes());
    let closing = connection.send_last(Reply::Error { code, text });
    // After the timeout the connection is closed although the client has not closed its side.
    tokio::time::timeout(CLOSE_TIMEOUT, closing)
        .await
        .unwrap_or(Ok(()))
}

/// The message that tells why a request failed. There is no cause if the message itself was refused.
pub fn error(code: ErrorCode, cause: Option<Cause>) -> Reply {
    let reason = match (cause, code) {
        (Some(cause), _) => format!("{cause:?}"),
        (None, ErrorCode::TooLarge) => "the message is too long".to_owned(),
        (None, _) => "the message is not valid".to_owned(),
    };
    let text = Bytes::from(reason);
    Reply::Error { code, text }
}

/// The message that tells the client to send the next request.
pub fn ready(state: TransactionState) -> Reply {
    Reply::Ready {
        state,
        position: None,
    }
}

//! Connection of one client.

use std::time::Instant;

use futures::SinkExt;
use futures::StreamExt;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio_util::codec::Framed;

use crate::wire::frame::Frame;
use crate::wire::frame_codec::FrameCodec;
use crate::wire::frame_error::FrameError;

/// Largest message accepted from a client.
const FRAME_LIMIT: usize = 16 * 1024 * 1024;

/// Byte stream to a client, with or without TLS.
pub(crate) trait Stream: AsyncRead + AsyncWrite + Send + Sync + Unpin {}

impl<S: AsyncRead + AsyncWrite + Send + Sync + Unpin> Stream for S {}

/// Connection of one client after the startup message.
pub(crate) struct Client {
    frames: Framed<Box<dyn Stream>, FrameCodec>,
}

impl Client {
    pub(crate) fn new(stream: Box<dyn Stream>) -> Self {
        Self {
            frames: Framed::new(stream, FrameCodec::new(FRAME_LIMIT)),
        }
    }

    /// Receives the next message, or `None` at the end of the connection.
    pub(crate) async fn receive(&mut self) -> Option<Result<Frame, FrameError>> {
        self.frames.next().await
    }

    /// Adds a message to the write buffer, which is sent when it is full. Fails at the deadline if
    /// the client does not read its answer, so that it does not occupy an endpoint connection.
    pub(crate) async fn feed(&mut self, frame: Frame, deadline: Instant) -> Result<(), FrameError> {
        if self.frames.write_buffer().len() < self.frames.backpressure_boundary() {
            return self.frames.start_send_unpin(frame);
        }
        tokio::time::timeout_at(deadline.into(), self.frames.feed(frame))
            .await
            .map_err(|_| timed_out())?
    }

    /// Sends the write buffer.
    pub(crate) async fn flush(&mut self, deadline: Instant) -> Result<(), FrameError> {
        tokio::time::timeout_at(deadline.into(), self.frames.flush())
            .await
            .map_err(|_| timed_out())?
    }

    /// Sends a last message and waits for the client to close. If the proxy closed first while a
    /// request was arriving, the connection would be reset and the message could be lost.
    pub(crate) async fn close(&mut self, last: Frame, deadline: Instant) {
        let closing = async {
            self.frames.send(last).await?;
            self.frames.get_mut().shutdown().await?;
            while self.frames.next().await.is_some_and(|read| read.is_ok()) {}
            Ok::<(), FrameError>(())
        };
        // The session ends whether or not the client received the message.
        let _ = tokio::time::timeout_at(deadline.into(), closing).await;
    }
}

fn timed_out() -> FrameError {
    FrameError::Io(std::io::ErrorKind::TimedOut.into())
}

//! Length-delimited frames over a TCP connection.

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

use crate::wire_error::WireError;

/// Largest frame. The largest content is a configuration with many routes, of which the store holds
/// at most 1 MiB.
const MAX_FRAME_BYTES: usize = 4 << 20;

/// The receiving half of a connection.
pub struct LinkReader {
    frames: FramedRead<OwnedReadHalf, LengthDelimitedCodec>,
}

/// The sending half of a connection.
pub struct LinkWriter {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
}

/// Splits a connection into its receiving and sending half.
pub fn split(stream: TcpStream) -> (LinkReader, LinkWriter) {
    let (read, write) = stream.into_split();
    let reader = LinkReader {
        frames: FramedRead::new(read, codec()),
    };
    let writer = LinkWriter {
        frames: FramedWrite::new(write, codec()),
    };
    (reader, writer)
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

impl LinkReader {
    /// Receives the next frame, or `None` at the end of the connection.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, WireError> {
        let Some(frame) = self.frames.next().await.transpose()? else {
            return Ok(None);
        };
        let body = postcard::from_bytes(&frame);
        body.map(Some)
            .map_err(|_| WireError::Malformed("a frame does not match the expected message"))
    }
}

impl LinkWriter {
    /// Sends one frame.
    pub async fn send<T: Serialize>(&mut self, body: &T) -> Result<(), WireError> {
        self.feed(body).await?;
        self.flush().await
    }

    /// Sends the queued frames until the queue closes. Frames that are queued together are flushed
    /// together.
    pub async fn send_all<T: Serialize>(
        &mut self,
        queue: &mut mpsc::Receiver<T>,
    ) -> Result<(), WireError> {
        while let Some(body) = queue.recv().await {
            self.feed(&body).await?;
            while let Ok(body) = queue.try_recv() {
                self.feed(&body).await?;
            }
            self.flush().await?;
        }
        Ok(())
    }

    async fn flush(&mut self) -> Result<(), WireError> {
        Ok(SinkExt::<Bytes>::flush(&mut self.frames).await?)
    }

    async fn feed<T: Serialize>(&mut self, body: &T) -> Result<(), WireError> {
        let frame = postcard::to_stdvec(body)
            .map_err(|_| WireError::Malformed("a message cannot be encoded as a frame"))?;
        Ok(self.frames.feed(Bytes::from(frame)).await?)
    }
}

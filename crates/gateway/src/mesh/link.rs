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
        Ok(self.frames.send(encode(body)?).await?)
    }

    /// Sends the queued frames until the queue closes. Frames that are queued together are flushed
    /// together.
    pub async fn send_all(&mut self, queue: &mut mpsc::Receiver<Bytes>) -> Result<(), WireError> {
        while let Some(frame) = queue.recv().await {
            self.frames.feed(frame).await?;
            while let Ok(frame) = queue.try_recv() {
                self.frames.feed(frame).await?;
            }
            SinkExt::<Bytes>::flush(&mut self.frames).await?;
        }
        Ok(())
    }
}

/// Encodes a frame. Fails if it would exceed the largest one.
pub fn encode<T: Serialize>(body: &T) -> Result<Bytes, WireError> {
    let frame = postcard::to_stdvec(body)
        .map_err(|_| WireError::Unencodable("it has no form as a frame"))?;
    if frame.len() > MAX_FRAME_BYTES {
        return Err(WireError::TooLarge(MAX_FRAME_BYTES));
    }
    Ok(Bytes::from(frame))
}

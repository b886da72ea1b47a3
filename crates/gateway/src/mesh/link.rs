//! Length-delimited frames over a TCP connection.

use std::rc::Rc;

use bytes::Bytes;
use bytes::BytesMut;
use futures::SinkExt;
use futures::StreamExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio_util::codec::FramedRead;
use tokio_util::codec::FramedWrite;
use tokio_util::codec::LengthDelimitedCodec;

use crate::client_memory::ClientMemory;
use crate::held_bytes::HeldBytes;
use crate::held_bytes::HeldFor;
use crate::mesh::frame::CallId;
use crate::mesh::frame_codec::FrameCodec;
use crate::mesh::frame_codec::Incoming;
use crate::mesh::frame_codec::LARGE_FRAME_BYTES;
use crate::mesh::frame_codec::MAX_FRAME_BYTES;
use crate::mesh::frame_queue::FrameReceiver;
use crate::wire_error::WireError;

/// A received message, and what it holds of the memory for clients.
#[derive(Debug)]
pub enum Received<T> {
    Message(T, Option<HeldBytes>),
    /// There was no memory for the message with this id.
    Refused(CallId),
}

/// The receiving half of a connection.
pub struct LinkReader {
    frames: FramedRead<OwnedReadHalf, FrameCodec>,
}

/// The sending half of a connection.
pub struct LinkWriter {
    frames: FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>,
}

/// Splits a connection into its receiving and sending half.
pub fn split(stream: TcpStream, memory: Rc<ClientMemory>) -> (LinkReader, LinkWriter) {
    let (read, write) = stream.into_split();
    let reader = LinkReader {
        frames: FramedRead::new(read, FrameCodec::new(memory)),
    };
    let codec = LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec();
    let writer = LinkWriter {
        frames: FramedWrite::new(write, codec),
    };
    (reader, writer)
}

impl LinkReader {
    /// Receives the next message, or `None` at the end of the connection.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<Option<Received<T>>, WireError> {
        let (frame, mut held) = match self.frames.next().await.transpose()? {
            None => return Ok(None),
            Some(Incoming::Refused(id)) => return Ok(Some(Received::Refused(id))),
            Some(Incoming::Frame(frame, held)) => (frame, held),
        };
        let body = postcard::from_bytes(&frame);
        if let Some(held) = &mut held {
            // The frame itself is dropped here; what was decoded stays.
            held.set(HeldFor::Message, frame.len() as u64);
        }
        body.map(|body| Some(Received::Message(body, held)))
            .map_err(|_| WireError::Malformed("a frame does not match the expected message"))
    }

    /// Receives the next message where none may be refused, such as the first one of a connection.
    pub async fn next<T: DeserializeOwned>(&mut self) -> Result<Option<T>, WireError> {
        Ok(match self.receive().await? {
            Some(Received::Message(body, _)) => Some(body),
            Some(Received::Refused(_)) | None => None,
        })
    }
}

impl LinkWriter {
    /// Sends one frame.
    pub async fn send<T: Serialize>(&mut self, body: &T) -> Result<(), WireError> {
        Ok(self.frames.send(encode(body)?).await?)
    }

    /// Sends the queued frames until the queue closes. Frames that are queued together are flushed
    /// together.
    pub async fn send_all(&mut self, queue: &mut FrameReceiver) -> Result<(), WireError> {
        while let Some(frame) = queue.receive().await {
            let mut length = frame.len() as u64;
            self.frames.feed(frame).await?;
            while let Some(frame) = queue.try_receive() {
                length += frame.len() as u64;
                self.frames.feed(frame).await?;
            }
            SinkExt::<Bytes>::flush(&mut self.frames).await?;
            if self.frames.write_buffer().capacity() > LARGE_FRAME_BYTES {
                *self.frames.write_buffer_mut() = BytesMut::new();
            }
            queue.on_sent(length);
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

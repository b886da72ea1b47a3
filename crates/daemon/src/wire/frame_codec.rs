//! Splits a byte stream into messages.

use bytes::BytesMut;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::wire::frame::Frame;
use crate::wire::frame::HEADER_LEN;
use crate::wire::frame_error::FrameError;

/// Upper bound for the buffer space that is reserved before a message has arrived. Without it, a
/// client could make the daemon allocate the announced length by sending only a header.
const MAX_RESERVE: usize = 64 * 1024;

/// Splits a stream into messages without decoding their bodies.
#[derive(Debug)]
pub struct FrameCodec {
    limit: usize,
}

impl FrameCodec {
    /// Creates a codec that rejects messages of more than `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self { limit }
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = FrameError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
        let Some(header) = buffer.first_chunk::<HEADER_LEN>() else {
            return Ok(None);
        };
        let tag = char::from(header[0]);
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]);
        if length < 4 {
            return Err(FrameError::TooShort { tag, length });
        }
        let total = usize::try_from(length)
            .unwrap_or(usize::MAX)
            .saturating_add(1);
        if total > self.limit {
            return Err(FrameError::TooLarge {
                tag,
                length,
                limit: self.limit,
            });
        }
        if buffer.len() < total {
            buffer.reserve((total - buffer.len()).min(MAX_RESERVE));
            return Ok(None);
        }
        Ok(Some(Frame::from_wire(buffer.split_to(total).freeze())))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = FrameError;

    fn encode(&mut self, frame: Frame, buffer: &mut BytesMut) -> Result<(), FrameError> {
        buffer.extend_from_slice(frame.raw());
        Ok(())
    }
}

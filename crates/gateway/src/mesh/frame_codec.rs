//! Reads frames that other hosts send, within the memory for clients.

use std::rc::Rc;

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use tokio_util::codec::Decoder;

use crate::client_memory::ClientMemory;
use crate::held_bytes::HeldBytes;
use crate::held_bytes::HeldFor;
use crate::mesh::frame::CallId;
use crate::mesh::frame::REFUSABLE_VARIANT;
use crate::wire_error::WireError;

/// Largest frame. The largest content is a configuration with many routes, of which the store holds
/// at most 1 MiB.
pub const MAX_FRAME_BYTES: usize = 4 << 20;
/// Frames up to this size are not counted, in bytes. Ordinary statements and answers are smaller.
const SMALL_FRAME_BYTES: usize = 4 << 10;
/// A buffer for a frame above this size is given back after it, in bytes.
pub const LARGE_FRAME_BYTES: usize = 64 << 10;
/// Size of the buffer for small frames, in bytes.
const READ_BUFFER: usize = 8 << 10;
/// Length of the length of a frame, in bytes.
const HEADER_BYTES: usize = 4;
/// Bytes of a frame that certainly hold the id of its call and the variant of its message: a number of
/// 64 bits and one of 32 bits, with 7 bits a byte.
const PREFIX_BYTES: usize = 15;
/// Copies of a frame: as it was read, and decoded.
const COPIES: u64 = 2;

/// A frame that was received.
#[derive(Debug)]
pub enum Incoming {
    /// The content, and what it holds of the memory for clients.
    Frame(Bytes, Option<HeldBytes>),
    /// There was no memory for the statement or the outcome with this id; it was skipped.
    Refused(CallId),
}

/// The frame that is being read.
#[derive(Debug)]
enum Part {
    Header,
    Content(usize, Option<HeldBytes>),
    /// Bytes that are still to be skipped.
    Skipped(usize, CallId),
}

/// Decodes frames. No memory is allocated for a length that was only announced.
#[derive(Debug)]
pub struct FrameCodec {
    memory: Rc<ClientMemory>,
    part: Part,
}

impl FrameCodec {
    pub fn new(memory: Rc<ClientMemory>) -> Self {
        Self {
            memory,
            part: Part::Header,
        }
    }

    /// Reads the length of a frame and decides whether to take it. Returns `None` if too little has
    /// arrived.
    fn start(&self, buffer: &mut BytesMut) -> Result<Option<Part>, WireError> {
        let Some(header) = buffer.first_chunk::<HEADER_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*header) as usize;
        if length > MAX_FRAME_BYTES {
            return Err(WireError::TooLarge(MAX_FRAME_BYTES));
        }
        if length <= SMALL_FRAME_BYTES {
            buffer.advance(HEADER_BYTES);
            return Ok(Some(Part::Content(length, None)));
        }
        if buffer.len() < HEADER_BYTES + PREFIX_BYTES {
            return Ok(None);
        }
        buffer.advance(HEADER_BYTES);
        let mut held = self.memory.open(0);
        // Nobody waits for the end of this holder; its connection or its statement bounds its time.
        held.set_pinned(true);
        let bytes = length as u64 * COPIES;
        if held.try_set(HeldFor::Message, bytes) {
            return Ok(Some(Part::Content(length, Some(held))));
        }
        match postcard::take_from_bytes::<(CallId, u32)>(buffer) {
            Ok(((id, REFUSABLE_VARIANT), _)) => Ok(Some(Part::Skipped(length, id))),
            // Everything else keeps the fleet running.
            _ => {
                held.set(HeldFor::Message, bytes);
                Ok(Some(Part::Content(length, Some(held))))
            }
        }
    }
}

impl Decoder for FrameCodec {
    type Item = Incoming;
    type Error = WireError;

    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Incoming>, WireError> {
        if matches!(self.part, Part::Header) {
            match self.start(buffer)? {
                Some(part) => self.part = part,
                None => return Ok(None),
            }
        }
        match &mut self.part {
            Part::Skipped(rest, id) => {
                let skipped = buffer.len().min(*rest);
                buffer.advance(skipped);
                *rest -= skipped;
                let (done, id) = (*rest == 0, *id);
                if done {
                    self.part = Part::Header;
                }
                Ok(done.then_some(Incoming::Refused(id)))
            }
            Part::Content(length, held) if buffer.len() >= *length => {
                let (length, held) = (*length, held.take());
                self.part = Part::Header;
                let frame = buffer.split_to(length).freeze();
                if length > LARGE_FRAME_BYTES {
                    // What follows must not keep the memory of the large frame.
                    let mut rest = BytesMut::with_capacity(READ_BUFFER.max(buffer.len()));
                    rest.extend_from_slice(buffer);
                    *buffer = rest;
                }
                Ok(Some(Incoming::Frame(frame, held)))
            }
            Part::Content(..) | Part::Header => Ok(None),
        }
    }
}

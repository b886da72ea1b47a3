//! One message with its type byte.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use pgwire::messages::Message;

/// Type byte and length of a message.
pub const HEADER: usize = 5;

/// A whole message, header included, as it is on the wire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame(Bytes);

impl Frame {
    /// Takes bytes that hold exactly one message.
    pub(crate) fn from_wire(raw: Bytes) -> Self {
        debug_assert!(raw.len() >= HEADER);
        Self(raw)
    }

    /// Composes a message from its type byte and body.
    pub fn new(tag: u8, body: &[u8]) -> Self {
        let mut raw = BytesMut::with_capacity(HEADER + body.len());
        raw.put_u8(tag);
        // Bodies are composed here from parts of frames, whose size the codec limits.
        raw.put_u32(u32::try_from(body.len() + 4).expect("the codec limits the size of frames"));
        raw.put_slice(body);
        Self(raw.freeze())
    }

    /// Encodes a message of pgwire.
    pub fn of(message: &impl Message) -> Self {
        let mut raw = BytesMut::new();
        message
            .encode(&mut raw)
            .expect("messages composed by the proxy are within pgwire's limits");
        Self(raw.freeze())
    }

    pub fn tag(&self) -> u8 {
        self.0[0]
    }

    pub fn body(&self) -> Bytes {
        self.0.slice(HEADER..)
    }

    pub fn raw(&self) -> &Bytes {
        &self.0
    }
}

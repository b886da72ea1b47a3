//! One message in its encoded form.

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use pgwire::messages::Message;

/// Length of the header: type byte and message length.
pub const HEADER_LEN: usize = 5;

/// One encoded message, including its header.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame(Bytes);

impl Frame {
    /// Wraps bytes that hold exactly one message.
    pub(crate) fn from_wire(raw: Bytes) -> Self {
        debug_assert!(raw.len() >= HEADER_LEN);
        Self(raw)
    }

    /// Builds a message from its type byte and body.
    pub fn new(tag: u8, body: &[u8]) -> Self {
        let mut raw = BytesMut::with_capacity(HEADER_LEN + body.len());
        raw.put_u8(tag);
        // Bodies are built from parts of received frames, whose size the codec limits.
        raw.put_u32(u32::try_from(body.len() + 4).expect("the codec limits the size of frames"));
        raw.put_slice(body);
        Self(raw.freeze())
    }

    /// Encodes a pgwire message.
    pub fn encode(message: &impl Message) -> Self {
        let mut raw = BytesMut::new();
        message
            .encode(&mut raw)
            .expect("messages built by the proxy are within pgwire's limits");
        Self(raw.freeze())
    }

    pub fn tag(&self) -> u8 {
        self.0[0]
    }

    pub fn body(&self) -> Bytes {
        self.0.slice(HEADER_LEN..)
    }

    pub fn raw(&self) -> &Bytes {
        &self.0
    }
}

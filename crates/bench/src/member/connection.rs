//! Message stream of one connection.

use bytes::BytesMut;
use pgwire::messages::DecodeContext;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::ProtocolVersion;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::member::SqlError;
use crate::member::outbox::Outbox;

/// Message stream of one connection.
pub(crate) struct Wire {
    stream: TcpStream,
    buffer: BytesMut,
    pub(crate) context: DecodeContext,
}

impl Wire {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: BytesMut::with_capacity(8192),
            context: DecodeContext::new(ProtocolVersion::PROTOCOL3_0),
        }
    }

    /// Next message; none once the client has closed the connection. Safe to cancel.
    pub(crate) async fn read(&mut self) -> Result<Option<PgWireFrontendMessage>, SqlError> {
        loop {
            let message = PgWireFrontendMessage::decode(&mut self.buffer, &self.context)
                .map_err(|e| SqlError::fatal("08P01", e.to_string()))?;
            if message.is_some() {
                return Ok(message);
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Ok(None);
            }
        }
    }

    pub(crate) async fn flush(&mut self, outbox: &mut Outbox) -> Result<(), SqlError> {
        self.stream.write_all(&outbox.buffer).await?;
        outbox.buffer.clear();
        Ok(())
    }

    /// Reads and drops everything until the client closes the connection.
    pub(crate) async fn drain(&mut self) {
        while let Ok(1..) = self.stream.read_buf(&mut self.buffer).await {
            self.buffer.clear();
        }
    }
}

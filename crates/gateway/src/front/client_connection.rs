//! A connection to a client, with its messages decoded and encoded.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;

use crate::clock;
use crate::front::session_end::SessionEnd;
use crate::held_bytes::HeldBytes;
use crate::held_bytes::HeldFor;
use crate::model::client_refusal::ClientRefusal;
use crate::model::reply::Reply;
use crate::model::request::Request;
use crate::platform::Platform;
use crate::policy::client_limits::ClientLimits;
use crate::policy::read_buffer;
use crate::policy::read_buffer::SMALL;

/// Bytes of a connection that do not count against the memory for clients: input and values of an
/// ordinary session. `ClientLimits` counts them for each connection.
pub const ALLOWANCE: u64 = 16 << 10;
/// Unsent output from which on it is written before more is added, in bytes.
const OUTPUT_LIMIT: usize = 8 << 10;
/// Copies of a message while it runs: as it was read, and encoded for the member or host.
const MESSAGE_COPIES: u64 = 2;

/// A connection to a client. It holds no buffers while it is idle. A buffer for a large message grows only
/// as bytes arrive and as the memory for clients permits, and does not outlive the message.
pub struct ClientConnection<P: Platform> {
    stream: TcpStream,
    codec: P::ClientCodec,
    input: BytesMut,
    /// Size for which `input` was allocated.
    allocated: usize,
    output: BytesMut,
    /// Whether the client has closed its side.
    ended: bool,
    /// When the wait for the rest of a message began.
    begun: Option<Duration>,
    limits: ClientLimits,
    pub held: HeldBytes,
}

impl<P: Platform> ClientConnection<P> {
    pub fn new(stream: TcpStream, limits: ClientLimits, held: HeldBytes) -> Self {
        Self {
            stream,
            codec: P::ClientCodec::default(),
            input: BytesMut::new(),
            allocated: 0,
            output: BytesMut::new(),
            ended: false,
            begun: None,
            limits,
            held,
        }
    }

    /// Receives the next message, or `None` at the end of the connection. Can be cancelled without
    /// loss.
    pub async fn next(&mut self) -> Option<Result<Request, SessionEnd>> {
        self.held.set(HeldFor::Message, 0);
        loop {
            let before = self.input.len();
            match self.codec.decode(&mut self.input) {
                Ok(Some(request)) => {
                    self.begun = None;
                    self.on_consumed(before - self.input.len());
                    return Some(Ok(request));
                }
                Ok(None) => self.shrink(),
                Err(error) => return Some(Err(error.into())),
            }
            if self.ended {
                return None;
            }
            if let Err(error) = self.read().await {
                return Some(Err(error));
            }
        }
    }

    /// Reads what has arrived of the next message.
    async fn read(&mut self) -> Result<(), SessionEnd> {
        let is_partial = !self.input.is_empty();
        if is_partial && self.begun.is_none() {
            self.begun = Some(clock::now());
        }
        let overdue = self.begun.map(|b| b + self.limits.message_timeout);
        let closed = self.held.closed();
        let reading = async {
            // An idle connection gets its buffer when something arrives.
            if self.input.is_empty() {
                self.stream.readable().await?;
            }
            if self.input.len() == self.input.capacity() {
                grow(&mut self.input, &mut self.allocated, &mut self.held).await?;
            }
            loop {
                self.stream.readable().await?;
                match self.stream.try_read_buf(&mut self.input) {
                    Ok(0) => self.ended = true,
                    Ok(_) => self.held.on_progress(),
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                    Err(error) => return Err(SessionEnd::from(error)),
                }
                return Ok(());
            }
        };
        tokio::select! {
            result = within(overdue, reading) => {
                result.unwrap_or(Err(SessionEnd::Refused(ClientRefusal::MessageTime)))
            }
            cause = closed => Err(SessionEnd::Refused(cause)),
        }
    }

    /// Accounts for a message that was taken out of the buffer, which it shares.
    fn on_consumed(&mut self, length: usize) {
        if self.allocated > SMALL {
            let message = length as u64 * MESSAGE_COPIES;
            self.shrink();
            if length > SMALL {
                self.held.set(HeldFor::Message, message);
            }
        }
    }

    /// Gives back a buffer that is larger than what is left in it needs.
    fn shrink(&mut self) {
        let is_idle = self.input.is_empty() && self.allocated > 0;
        if is_idle || (self.input.len() <= SMALL && self.allocated > SMALL) {
            self.allocated = self.input.len();
            self.input = BytesMut::from(&self.input[..]);
            self.held.set(HeldFor::Input, self.allocated as u64);
        }
    }

    /// Adds a message. Earlier ones are sent first if there is much of them.
    pub async fn feed(&mut self, reply: Reply) -> Result<(), SessionEnd> {
        if self.output.len() >= OUTPUT_LIMIT {
            self.flush().await?;
        }
        self.codec.encode(reply, &mut self.output)?;
        if self.output.len() > OUTPUT_LIMIT {
            self.held.set(HeldFor::Output, self.output.len() as u64);
        }
        Ok(())
    }

    /// Adds the rows of an answer, which count as held until they are encoded.
    pub async fn feed_rows(&mut self, rows: Vec<Bytes>) -> Result<(), SessionEnd> {
        let mut rest: u64 = rows.iter().map(|row| row.len() as u64).sum();
        for row in rows {
            rest -= row.len() as u64;
            self.feed(Reply::Row(row)).await?;
            self.held.set(HeldFor::Answer, rest);
        }
        Ok(())
    }

    /// Adds a message and sends all.
    pub async fn send(&mut self, reply: Reply) -> Result<(), SessionEnd> {
        self.feed(reply).await?;
        self.flush().await
    }

    /// Sends all messages. Fails if the client does not read them in time.
    async fn flush(&mut self) -> Result<(), SessionEnd> {
        let overdue = clock::now() + self.limits.answer_timeout;
        let writing = async {
            while !self.output.is_empty() {
                match self.stream.try_write(&self.output) {
                    Ok(length) => {
                        let _sent = self.output.split_to(length);
                        self.held.on_progress();
                    }
                    Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                        tokio::select! {
                            writable = self.stream.writable() => writable?,
                            cause = self.held.closed() => return Err(SessionEnd::Unread(cause)),
                        }
                    }
                    Err(error) => return Err(error.into()),
                }
            }
            Ok(())
        };
        within(Some(overdue), writing)
            .await
            .unwrap_or(Err(SessionEnd::Unread(ClientRefusal::AnswerTime)))?;
        self.output = BytesMut::new();
        self.held.set(HeldFor::Output, 0);
        Ok(())
    }

    /// Sends a last message. The input is drained until the client closes its side: closing with unread
    /// data would reset the connection, and the message could be lost.
    pub async fn send_last(&mut self, reply: Reply) -> Result<(), SessionEnd> {
        self.input = BytesMut::new();
        self.held.clear();
        self.send(reply).await?;
        self.stream.shutdown().await?;
        loop {
            self.stream.readable().await?;
            // The buffer does not outlive the call.
            match self.stream.try_read(&mut [0; SMALL]) {
                Ok(0) => return Ok(()),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
        }
    }
}

/// Enlarges a full buffer once the memory for clients permits it.
async fn grow(
    input: &mut BytesMut,
    allocated: &mut usize,
    held: &mut HeldBytes,
) -> Result<(), SessionEnd> {
    // If earlier messages were taken from the front, the same size has room again.
    let size = if *allocated >= SMALL && input.len() * 2 <= *allocated {
        *allocated
    } else {
        read_buffer::next_size(input.len())
    };
    held.wait_set(HeldFor::Input, size as u64).await?;
    let mut larger = BytesMut::with_capacity(size);
    larger.extend_from_slice(input);
    *input = larger;
    *allocated = size;
    Ok(())
}

/// Runs a future until a point in time, if there is one. Returns `None` after it.
async fn within<T>(end: Option<Duration>, future: impl Future<Output = T>) -> Option<T> {
    match end {
        None => Some(future.await),
        Some(end) => {
            let rest = end.saturating_sub(clock::now());
            tokio::time::timeout(rest, future).await.ok()
        }
    }
}

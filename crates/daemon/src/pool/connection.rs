//! One connection to a member.

use std::net::SocketAddr;
use std::time::Instant;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use magnoliahatch_core::connection_state::ConnectionState;
use magnoliahatch_core::position::LogPosition;
use pgwire::messages::Message;
use pgwire::messages::startup::Startup;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

use crate::pool::connection_slot::ConnectionSlot;
use crate::pool::open_error::OpenError;
use crate::pool::socket;
use crate::wire::body_reader;
use crate::wire::body_reader::BodyReader;
use crate::wire::encode;
use crate::wire::frame::Frame;
use crate::wire::frame_codec::FrameCodec;
use crate::wire::frame_error::FrameError;
use crate::wire::tag;

/// PostgreSQL's limit for one message.
const FRAME_LIMIT: usize = 0x3fff_ffff;
/// Name of the ParameterStatus with which members report log positions.
const POSITION_PARAMETER: &str = "platform_position";

/// Identifies a connection in a cancel request to the member.
#[derive(Debug, Clone)]
pub struct BackendKey {
    pub address: SocketAddr,
    /// Process id and secret as the member sent them.
    pub body: Bytes,
}

/// One connection to a member.
#[derive(Debug)]
pub struct Connection {
    frames: Framed<TcpStream, FrameCodec>,
    pub key: BackendKey,
    pub connection_state: ConnectionState,
    /// Log position reported with the last answer.
    pub position: Option<LogPosition>,
    /// Time of the last message from the member.
    pub last_received: Instant,
    /// Bytes sent and received on this connection, startup included.
    pub byte_counts: (u64, u64),
    /// Counts this connection as open in its pool.
    pub(crate) slot: Option<ConnectionSlot>,
}

impl Connection {
    /// Connects and starts a session as `user`.
    pub async fn open(
        address: SocketAddr,
        user: &str,
        database: &str,
        deadline: Instant,
    ) -> Result<Self, OpenError> {
        let opening = Self::start(address, user, database);
        match tokio::time::timeout_at(deadline.into(), opening).await {
            Ok(result) => result,
            Err(_) => Err(OpenError::Timeout),
        }
    }

    async fn start(address: SocketAddr, user: &str, database: &str) -> Result<Self, OpenError> {
        let mut stream = socket::connect(address).await?;
        let mut startup = Startup::new();
        startup
            .parameters
            .insert("user".to_owned(), user.to_owned());
        startup
            .parameters
            .insert("database".to_owned(), database.to_owned());
        let mut raw = bytes::BytesMut::new();
        startup
            .encode(&mut raw)
            .map_err(|_| OpenError::Protocol(FrameError::Malformed('-')))?;
        stream.write_all(&raw).await?;
        let mut connection = Self {
            frames: Framed::new(stream, FrameCodec::new(FRAME_LIMIT)),
            key: BackendKey {
                address,
                body: Bytes::new(),
            },
            connection_state: ConnectionState::fresh(),
            position: None,
            last_received: Instant::now(),
            byte_counts: (raw.len() as u64, 0),
            slot: None,
        };
        loop {
            let frame = connection.receive().await?.ok_or(OpenError::Closed)?;
            match frame.tag() {
                tag::AUTHENTICATION if BodyReader::new(&frame).int32()? == 0 => {}
                tag::AUTHENTICATION => return Err(OpenError::Authentication),
                tag::BACKEND_KEY => connection.key.body = frame.body(),
                tag::ERROR => return Err(refusal_error(&frame)),
                tag::READY => return Ok(connection),
                _ => {}
            }
        }
    }

    /// Adds a message to the write buffer, which is sent when it is full.
    pub async fn feed(&mut self, frame: Frame) -> Result<(), FrameError> {
        self.byte_counts.0 += frame.raw().len() as u64;
        self.frames.feed(frame).await
    }

    /// Sends the write buffer.
    pub async fn flush(&mut self) -> Result<(), FrameError> {
        self.frames.flush().await
    }

    /// Receives the next message, or `None` at the end of the connection. Stores log positions that
    /// the member reports.
    pub async fn receive(&mut self) -> Result<Option<Frame>, FrameError> {
        let Some(frame) = self.frames.next().await.transpose()? else {
            return Ok(None);
        };
        self.last_received = Instant::now();
        self.byte_counts.1 += frame.raw().len() as u64;
        if frame.tag() == tag::PARAMETER_STATUS {
            let (name, value) = body_reader::parse_parameter_status(&frame)?;
            if name == POSITION_PARAMETER {
                self.position = value.parse().ok();
            }
        }
        Ok(Some(frame))
    }

    /// Whether a message reports the member's log position.
    pub fn is_position_report(frame: &Frame) -> bool {
        frame.tag() == tag::PARAMETER_STATUS
            && frame.body().starts_with(POSITION_PARAMETER.as_bytes())
    }

    /// Runs one simple query of the proxy itself and returns its rows as text.
    pub async fn query(&mut self, sql: &str) -> Result<Vec<Vec<Option<String>>>, OpenError> {
        self.feed(encode::query(sql)).await?;
        self.flush().await?;
        self.read_rows().await
    }

    /// Runs a statement without parameters that is parsed once under `name`; `parsed` tells whether
    /// that has happened. The answer contains no RowDescription.
    pub async fn query_prepared(
        &mut self,
        name: &str,
        sql: &str,
        parsed: bool,
    ) -> Result<Vec<Vec<Option<String>>>, OpenError> {
        if !parsed {
            self.feed(encode::parse(name, sql)).await?;
        }
        for frame in encode::bind_execute_sync(name) {
            self.feed(frame).await?;
        }
        self.flush().await?;
        self.read_rows().await
    }

    /// Reads an answer up to ReadyForQuery and returns its rows.
    pub async fn read_rows(&mut self) -> Result<Vec<Vec<Option<String>>>, OpenError> {
        let mut rows = Vec::new();
        let mut failure = None;
        loop {
            let frame = self.receive().await?.ok_or(OpenError::Closed)?;
            match frame.tag() {
                tag::DATA_ROW => rows.push(body_reader::parse_data_row(&frame)?),
                tag::ERROR => failure = Some(refusal_error(&frame)),
                tag::READY => break,
                _ => {}
            }
        }
        failure.map_or(Ok(rows), Err)
    }

    /// Whether nothing has arrived on this idle connection. Any input means that the connection was
    /// closed or that a late answer is still arriving.
    pub fn has_no_input(&mut self) -> bool {
        self.frames.read_buffer().is_empty()
            && matches!(
                self.frames.get_ref().try_read(&mut [0]),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock
            )
    }

    /// Sends a Sync and waits for its answer; nothing is executed.
    pub async fn ping(&mut self) -> Result<(), OpenError> {
        self.feed(Frame::new(tag::SYNC, &[])).await?;
        self.flush().await?;
        loop {
            let frame = self.receive().await?.ok_or(OpenError::Closed)?;
            match frame.tag() {
                tag::READY => return Ok(()),
                tag::ERROR => return Err(refusal_error(&frame)),
                _ => {}
            }
        }
    }
}

fn refusal_error(frame: &Frame) -> OpenError {
    OpenError::Refused {
        code: body_reader::error_field(frame, b'C').unwrap_or_default(),
        message: body_reader::error_field(frame, b'M').unwrap_or_default(),
    }
}

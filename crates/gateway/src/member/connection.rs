//! A connection to a member.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::FutureExt;
use futures::SinkExt;
use futures::StreamExt;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::position::LogPosition;
use tokio::net::TcpStream;
use tokio_util::codec::Decoder;
use tokio_util::codec::Encoder;
use tokio_util::codec::Framed;

use crate::client_memory::ClientMemory;
use crate::front::client_connection::ALLOWANCE;
use crate::held_bytes::HeldBytes;
use crate::held_bytes::HeldFor;
use crate::member::connection_error::ConnectionError;
use crate::model::command::Command;
use crate::model::error_code::ErrorCode;
use crate::model::job::Values;
use crate::model::reply::Reply;
use crate::model::statement::Access;
use crate::model::transaction_state::TransactionState;
use crate::platform::Platform;
use crate::policy::read_buffer;
use crate::socket;
use crate::wire_error::WireError;

/// Time limit for connecting, and for the start message and its answer. A member that accepts uses
/// one of its slots for 12 ms.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Time limit for each command that needs no slot.
const SETUP_TIMEOUT: Duration = Duration::from_millis(600);

/// Largest buffer that a connection keeps when it is idle, in bytes.
const MAX_IDLE_BUFFER: usize = 64 << 10;
/// Bytes of values with which a connection may be idle. A larger one is closed, since it would keep what
/// a session has set after its end.
const MAX_IDLE_VALUES: usize = 1 << 20;
/// Bytes of prepared statements on a connection. Beyond it all are removed by a reset.
const MAX_PREPARED_BYTES: usize = 1 << 20;
/// Counted for each prepared statement beside its text, in bytes.
const PREPARED_BYTES: usize = 128;
/// Counted for each row of an answer beside its text, in bytes.
const ROW_BYTES: usize = 32;
/// Largest answer to a command of the proxy itself, in bytes. They have one row.
const MAX_COMMAND_ANSWER: u64 = 1 << 20;

/// A member's complete answer to a command.
#[derive(Debug)]
pub struct Response {
    pub rows: Vec<Bytes>,
    pub result: Result<Option<Bytes>, (ErrorCode, Bytes)>,
    pub state: TransactionState,
    pub position: Option<LogPosition>,
}

impl Response {
    /// Whether the member ran the command, even if it failed.
    pub fn was_run(&self) -> bool {
        !matches!(&self.result, Err((code, _)) if code.not_run())
    }
}

/// An open connection, with the session values and prepared statements that the member holds for
/// it.
pub struct Connection<P: Platform> {
    stream: Framed<TcpStream, P::MemberCodec>,
    pub organisation: OrganisationId,
    values: Values,
    /// Names of the prepared statements, by what they run.
    prepared: HashMap<(Access, Bytes), Bytes>,
    /// Counted size of the prepared statements.
    prepared_bytes: usize,
    /// Number of statements that were prepared on this connection.
    prepared_count: u64,
    /// The pool's generation when the connection was opened. Connections of an older generation are
    /// not reused.
    pub generation: u64,
    pub last_used: Duration,
    /// What the answer to a client holds of the memory for clients, and its largest size. `None` for
    /// commands of the proxy itself.
    answer: Option<(HeldBytes, u64)>,
    /// What values and prepared statements hold of the memory for clients, also while the connection is
    /// idle. `None` until a statement of a client uses the connection.
    kept: Option<HeldBytes>,
}

impl<P: Platform> Connection<P> {
    /// Connects to a member on behalf of an organisation. The start message names the member, so
    /// that another one at this address refuses the connection.
    pub async fn open(
        address: SocketAddr,
        service: &str,
        member: &str,
        organisation: &str,
    ) -> Result<Self, ConnectionError> {
        let start = Command::Start {
            service: service.to_owned(),
            organisation: organisation.to_owned(),
            member: member.to_owned(),
        };
        let mut codec = P::MemberCodec::default();
        let mut encoded = BytesMut::new();
        codec
            .encode(start, &mut encoded)
            .map_err(ConnectionError::NotSent)?;
        let opening = async {
            let stream = socket::connect(address, OPEN_TIMEOUT)
                .await
                .map_err(|e| ConnectionError::Wire(e.into()))?;
            let mut stream = Framed::new(stream, codec);
            stream.write_buffer_mut().unsplit(encoded);
            SinkExt::<Command>::flush(&mut stream).await?;
            match stream.next().await.ok_or(ConnectionError::Closed)?? {
                Reply::Ready { .. } => Ok(stream),
                Reply::Error { code, .. } => Err(ConnectionError::Refused(code)),
                _ => Err(ConnectionError::Protocol),
            }
        };
        let stream = tokio::time::timeout(OPEN_TIMEOUT, opening)
            .await
            .map_err(|_| ConnectionError::Timeout)??;
        Ok(Self {
            stream,
            organisation: organisation.to_owned(),
            values: Values::new(),
            prepared: HashMap::new(),
            prepared_bytes: 0,
            prepared_count: 0,
            generation: 0,
            last_used: Duration::ZERO,
            answer: None,
            kept: None,
        })
    }

    /// Counts what the next statements keep on the connection, and their answers, each up to `limit`
    /// bytes.
    pub fn count_in(&mut self, memory: &Rc<ClientMemory>, limit: u64) {
        self.answer = Some((memory.open(ALLOWANCE), limit));
        self.kept.get_or_insert_with(|| memory.open(ALLOWANCE));
    }

    /// Whether the connection must be closed, since the memory for clients is short and it keeps much.
    pub fn must_close(&self) -> bool {
        self.kept.as_ref().is_some_and(HeldBytes::is_closed)
    }

    /// Waits until the connection must be closed.
    pub fn closed(&self) -> impl Future<Output = ()> + use<P> {
        let closed = self.kept.as_ref().map(HeldBytes::closed);
        async move {
            match closed {
                Some(closed) => drop(closed.await),
                None => std::future::pending().await,
            }
        }
    }

    /// Sets whether a statement runs, so that the connection cannot be told to close.
    pub fn set_running(&self, running: bool) {
        if let Some(kept) = &self.kept {
            kept.set_pinned(running);
        }
    }

    /// Gives back the memory that an idle connection does not need. Returns whether it may be used
    /// again.
    pub fn prepare_idle(&mut self) -> bool {
        self.answer = None;
        self.set_running(false);
        if self.stream.read_buffer().is_empty() {
            *self.stream.read_buffer_mut() = BytesMut::with_capacity(read_buffer::SMALL);
        }
        value_bytes(&self.values) <= MAX_IDLE_VALUES && !self.must_close()
    }

    /// Whether the member has closed the connection, or sent something that was not asked for, which the
    /// next command would take for its answer.
    pub fn is_stale(&mut self) -> bool {
        let received = self.stream.next().now_or_never();
        received.is_some() || !self.stream.read_buffer().is_empty()
    }

    /// Sets exactly the values of a session on the connection, and prepares a statement if one is
    /// needed. Returns the name of that statement. All commands are sent before the first answer is
    /// awaited.
    pub async fn prepare(
        &mut self,
        values: &Values,
        template: Option<(Access, &Bytes)>,
    ) -> Result<Option<Bytes>, ConnectionError> {
        if self.is_stale() {
            return Err(ConnectionError::Stale);
        }
        let statement = template.map(|(access, template)| (access, template.clone()));
        let known = statement
            .as_ref()
            .and_then(|s| self.prepared.get(s))
            .cloned();
        let is_unset = |v: &(Bytes, Bytes)| values.iter().all(|w| w.0 != v.0);
        let size = statement.as_ref().map_or(0, |s| s.1.len() + PREPARED_BYTES);
        let is_full = known.is_none()
            && !self.prepared.is_empty()
            && self.prepared_bytes + size > MAX_PREPARED_BYTES;
        let reset = self.values.iter().any(is_unset) || is_full;
        let kept = if reset { 0 } else { self.prepared_bytes };
        let added = if known.is_some() && !reset { 0 } else { size };
        let bytes = value_bytes(values) + kept + added;
        if let Some(held) = &mut self.kept
            && !held.try_set(HeldFor::State, bytes as u64)
        {
            return Err(ConnectionError::NoMemory);
        }
        let mut commands = Vec::new();
        if reset {
            commands.push(Command::Reset);
        }
        for (name, value) in values {
            let is_set = self.values.iter().any(|v| v.0 == *name && v.1 == *value);
            if reset || !is_set {
                commands.push(Command::Set {
                    name: name.clone(),
                    value: value.clone(),
                });
            }
        }
        let known = known.filter(|_| !reset);
        let is_known = known.is_some();
        let new_name = || Bytes::from(format!("s{}", self.prepared_count));
        let name = statement.as_ref().map(|_| known.unwrap_or_else(new_name));
        let new = statement.zip(name.clone()).filter(|_| !is_known);
        if let Some(((access, template), name)) = &new {
            commands.push(Command::Prepare {
                name: name.clone(),
                access: *access,
                template: template.clone(),
            });
        }
        let count = commands.len();
        self.encode(commands)?;
        if reset {
            self.prepared.clear();
            self.prepared_bytes = 0;
        }
        self.values.clone_from(values);
        if let Some((statement, name)) = new {
            self.prepared.insert(statement, name);
            self.prepared_bytes += size;
            self.prepared_count += 1;
        }
        if count == 0 {
            return Ok(name);
        }
        self.flush().await?;
        for _ in 0..count {
            let answer = self.receive_within(SETUP_TIMEOUT).await?;
            if let Err((code, _)) = answer.result {
                return Err(ConnectionError::Refused(code));
            }
        }
        Ok(name)
    }

    /// Sends a command and waits for the complete answer.
    pub async fn run(
        &mut self,
        command: Command,
        timeout: Duration,
    ) -> Result<Response, ConnectionError> {
        if self.is_stale() {
            return Err(ConnectionError::Stale);
        }
        self.encode([command])?;
        self.flush().await?;
        self.receive_within(timeout).await
    }

    /// Encodes commands to be sent by the next `flush`: all of them, or none if one cannot be encoded.
    fn encode(
        &mut self,
        commands: impl IntoIterator<Item = Command>,
    ) -> Result<(), ConnectionError> {
        let mut buffer = std::mem::take(self.stream.write_buffer_mut());
        let start = buffer.len();
        let codec = self.stream.codec_mut();
        let encoded = commands
            .into_iter()
            .try_for_each(|command| codec.encode(command, &mut buffer));
        if encoded.is_err() {
            buffer.truncate(start);
        }
        *self.stream.write_buffer_mut() = buffer;
        encoded.map_err(ConnectionError::NotSent)
    }

    async fn flush(&mut self) -> Result<(), WireError> {
        let length = self.stream.write_buffer().len() as u64;
        if let Some((held, _)) = &mut self.answer {
            held.set(HeldFor::Message, length);
        }
        SinkExt::<Command>::flush(&mut self.stream).await?;
        if self.stream.write_buffer().capacity() > MAX_IDLE_BUFFER {
            *self.stream.write_buffer_mut() = BytesMut::new();
        }
        if let Some((held, _)) = &mut self.answer {
            held.set(HeldFor::Message, 0);
        }
        Ok(())
    }

    async fn receive_within(&mut self, timeout: Duration) -> Result<Response, ConnectionError> {
        tokio::time::timeout(timeout, self.receive())
            .await
            .map_err(|_| ConnectionError::Timeout)?
    }

    async fn receive(&mut self) -> Result<Response, ConnectionError> {
        let mut rows = Vec::new();
        let mut bytes = 0;
        let mut result = None;
        loop {
            match self.next_reply(bytes).await? {
                Reply::Row(row) => {
                    bytes += (row.len() + ROW_BYTES) as u64;
                    self.count_answer(bytes, 0).await?;
                    rows.push(row);
                }
                Reply::Complete(proof) => result = Some(Ok(proof)),
                Reply::Error { code, text } => result = Some(Err((code, text))),
                Reply::Ready { state, position } => {
                    return Ok(Response {
                        rows,
                        result: result.ok_or(ConnectionError::Protocol)?,
                        state,
                        position,
                    });
                }
            }
        }
    }

    /// Receives a message of an answer, of which `bytes` have arrived.
    async fn next_reply(&mut self, bytes: u64) -> Result<Reply, ConnectionError> {
        loop {
            let mut buffer = std::mem::take(self.stream.read_buffer_mut());
            let decoded = self.stream.codec_mut().decode(&mut buffer);
            *self.stream.read_buffer_mut() = buffer;
            if let Some(reply) = decoded? {
                return Ok(reply);
            }
            let buffer = self.stream.read_buffer();
            let length = buffer.len();
            if length == buffer.capacity() {
                let larger = read_buffer::next_size(length);
                self.count_answer(bytes, larger as u64).await?;
                let buffer = self.stream.read_buffer_mut();
                buffer.reserve(larger - length);
            }
            self.stream
                .get_ref()
                .readable()
                .await
                .map_err(WireError::from)?;
            let mut buffer = std::mem::take(self.stream.read_buffer_mut());
            let read = self.stream.get_ref().try_read_buf(&mut buffer);
            *self.stream.read_buffer_mut() = buffer;
            match read {
                Ok(0) => return Err(ConnectionError::Closed),
                Err(error) if error.kind() != io::ErrorKind::WouldBlock => {
                    return Err(WireError::from(error).into());
                }
                _ => {}
            }
        }
    }

    /// Counts the rows of an answer and the buffer for the next one. Nothing more is read from the member
    /// until there is memory for them.
    async fn count_answer(&mut self, rows: u64, buffer: u64) -> Result<(), ConnectionError> {
        let limit = self.answer.as_ref().map_or(MAX_COMMAND_ANSWER, |a| a.1);
        if rows > limit {
            return Err(WireError::TooLarge(limit as usize).into());
        }
        let Some((held, _)) = &mut self.answer else {
            return Ok(());
        };
        let counted = held.wait_set(HeldFor::Answer, rows + buffer).await;
        counted.map_err(|_| ConnectionError::Memory)
    }
}

fn value_bytes(values: &Values) -> usize {
    values
        .iter()
        .map(|(name, value)| name.len() + value.len())
        .sum()
}

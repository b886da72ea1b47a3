//! A connection to a member.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::FutureExt;
use futures::SinkExt;
use futures::StreamExt;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::position::LogPosition;
use tokio::net::TcpStream;
use tokio_util::codec::Encoder;
use tokio_util::codec::Framed;

use crate::member::connection_error::ConnectionError;
use crate::model::command::Command;
use crate::model::error_code::ErrorCode;
use crate::model::job::Values;
use crate::model::reply::Reply;
use crate::model::statement::Access;
use crate::model::transaction_state::TransactionState;
use crate::platform::Platform;
use crate::socket;
use crate::wire_error::WireError;

/// Time limit for connecting, and for the start message and its answer. A member that accepts uses
/// one of its slots for 12 ms.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Time limit for each command that needs no slot.
const SETUP_TIMEOUT: Duration = Duration::from_millis(600);

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
    /// Number of statements that were prepared on this connection.
    prepared_count: u64,
    /// The pool's generation when the connection was opened. Connections of an older generation are
    /// not reused.
    pub generation: u64,
    pub last_used: Duration,
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
            prepared_count: 0,
            generation: 0,
            last_used: Duration::ZERO,
        })
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
        let is_unset = |v: &(Bytes, Bytes)| values.iter().all(|w| w.0 != v.0);
        let reset = self.values.iter().any(is_unset);
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
        let statement = template.map(|(access, template)| (access, template.clone()));
        let known = statement.as_ref().and_then(|s| self.prepared.get(s));
        let known = known.filter(|_| !reset).cloned();
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
        }
        self.values.clone_from(values);
        if let Some((statement, name)) = new {
            self.prepared.insert(statement, name);
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
        SinkExt::<Command>::flush(&mut self.stream).await
    }

    async fn receive_within(&mut self, timeout: Duration) -> Result<Response, ConnectionError> {
        tokio::time::timeout(timeout, self.receive())
            .await
            .map_err(|_| ConnectionError::Timeout)?
    }

    async fn receive(&mut self) -> Result<Response, ConnectionError> {
        let mut rows = Vec::new();
        let mut result = None;
        loop {
            match self.stream.next().await.ok_or(ConnectionError::Closed)?? {
                Reply::Row(row) => rows.push(row),
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
}

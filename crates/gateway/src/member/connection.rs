//! One connection to a member.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::SinkExt;
use futures::StreamExt;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::position::LogPosition;
use tokio::net::TcpStream;
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

/// Limit for connecting and for the greeting; a member that accepts needs 12 ms of a slot.
const OPEN_LIMIT: Duration = Duration::from_millis(600);
/// Limit for commands that need no slot.
const SETUP_LIMIT: Duration = Duration::from_millis(600);

/// A complete answer.
#[derive(Debug)]
pub struct Answered {
    pub rows: Vec<Bytes>,
    pub result: Result<Option<Bytes>, (ErrorCode, Bytes)>,
    pub state: TransactionState,
    pub position: Option<LogPosition>,
}

/// An open connection and what it holds for its session.
pub struct Connection<P: Platform> {
    wire: Framed<TcpStream, P::MemberCodec>,
    pub organisation: OrganisationId,
    values: Values,
    prepared: BTreeSet<Bytes>,
    /// Number of the pool's generation: connections of an older one are not used again.
    pub generation: u64,
    pub used: Duration,
}

impl<P: Platform> Connection<P> {
    /// Connects for an organisation to the member that must be there.
    pub async fn open(
        address: SocketAddr,
        service: &str,
        member: &str,
        organisation: &str,
    ) -> Result<Self, ConnectionError> {
        let opening = async {
            let stream = socket::connect(address, OPEN_LIMIT)
                .await
                .map_err(|e| ConnectionError::Wire(e.into()))?;
            let mut wire = Framed::new(stream, P::MemberCodec::default());
            wire.send(Command::Start {
                service: service.to_owned(),
                organisation: organisation.to_owned(),
                member: member.to_owned(),
            })
            .await?;
            match wire.next().await.ok_or(ConnectionError::Closed)?? {
                Reply::Ready { .. } => Ok(wire),
                Reply::Error { code, .. } => Err(ConnectionError::Refused(code)),
                _ => Err(ConnectionError::Protocol),
            }
        };
        let wire = tokio::time::timeout(OPEN_LIMIT, opening)
            .await
            .map_err(|_| ConnectionError::Silent)??;
        Ok(Self {
            wire,
            organisation: organisation.to_owned(),
            values: Values::new(),
            prepared: BTreeSet::new(),
            generation: 0,
            used: Duration::ZERO,
        })
    }

    /// Gives the connection exactly the values of a session, and a prepared statement of a shape
    /// if one is needed. All commands are sent at once.
    pub async fn prepare(
        &mut self,
        values: &Values,
        shape: Option<(Access, &Bytes)>,
    ) -> Result<(), ConnectionError> {
        let foreign = |v: &(Bytes, Bytes)| values.iter().all(|w| w.0 != v.0);
        let mut commands = Vec::new();
        if self.values.iter().any(foreign) {
            commands.push(Command::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in values {
            if !self.values.iter().any(|v| v.0 == *name && v.1 == *value) {
                commands.push(Command::Set {
                    name: name.clone(),
                    value: value.clone(),
                });
            }
        }
        self.values.clone_from(values);
        if let Some((access, shape)) = shape {
            let name = prepared_name(access, shape);
            if self.prepared.insert(name.clone()) {
                commands.push(Command::Prepare {
                    name,
                    access,
                    shape: shape.clone(),
                });
            }
        }
        let count = commands.len();
        for command in commands {
            self.wire.feed(command).await?;
        }
        if count == 0 {
            return Ok(());
        }
        self.wire.flush().await?;
        for _ in 0..count {
            let answer = self.answer(SETUP_LIMIT).await?;
            if answer.result.is_err() {
                return Err(ConnectionError::Protocol);
            }
        }
        Ok(())
    }

    /// Sends a command and waits for its complete answer.
    pub async fn run(
        &mut self,
        command: Command,
        limit: Duration,
    ) -> Result<Answered, ConnectionError> {
        self.wire.send(command).await?;
        self.answer(limit).await
    }

    async fn answer(&mut self, limit: Duration) -> Result<Answered, ConnectionError> {
        tokio::time::timeout(limit, self.receive())
            .await
            .map_err(|_| ConnectionError::Silent)?
    }

    async fn receive(&mut self) -> Result<Answered, ConnectionError> {
        let mut rows = Vec::new();
        let mut result = None;
        loop {
            match self.wire.next().await.ok_or(ConnectionError::Closed)?? {
                Reply::Row(row) => rows.push(row),
                Reply::Complete(proof) => result = Some(Ok(proof)),
                Reply::Error { code, text } => result = Some(Err((code, text))),
                Reply::Ready { state, position } => {
                    return Ok(Answered {
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

/// Name of a prepared statement on a connection. Sessions with the same shape share it.
pub fn prepared_name(access: Access, shape: &[u8]) -> Bytes {
    let prefix = match access {
        Access::Read => b"r_",
        Access::Write => b"w_",
    };
    [prefix.as_slice(), shape].concat().into()
}

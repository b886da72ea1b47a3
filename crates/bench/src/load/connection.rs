//! A caller's connection to the daemon of a host.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use futures::FutureExt;
use futures::SinkExt;
use futures::StreamExt;
use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::response::ErrorResponse;
use pgwire::messages::response::TransactionStatus;
use pgwire::messages::simplequery::Query;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::Password;
use pgwire::messages::startup::PasswordMessageFamily;
use pgwire::messages::startup::Startup;
use pgwire::messages::terminate::Terminate;
use pgwire::tokio::client::PgWireMessageClientCodec;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::load::answer;
use crate::load::answer::Answer;
use crate::load::failure::Failure;
use crate::load::target::Caller;

/// Startup and status parameter that holds the session token.
pub const TOKEN_PARAMETER: &str = "magnoliahatch.token";

/// A caller's connection to the daemon of a host, without TLS and with the simple query protocol.
#[derive(Debug)]
pub struct Connection {
    socket: Framed<TcpStream, PgWireMessageClientCodec>,
    parameters: BTreeMap<String, String>,
    idle: bool,
}

impl Connection {
    /// Connects and authenticates. No statement runs before that, so a lost connection or a timeout
    /// is reported as [`Failure::Connect`].
    pub async fn open(
        address: SocketAddr,
        caller: &Caller,
        token: Option<&str>,
        limit: Duration,
    ) -> Result<Self, Failure> {
        match timeout(limit, Self::startup_handshake(address, caller, token)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(Failure::Lost(cause))) => Err(Failure::Connect(cause)),
            Ok(Err(failure)) => Err(failure),
            Err(_) => Err(Failure::Connect("the startup timed out".to_owned())),
        }
    }

    async fn startup_handshake(
        address: SocketAddr,
        caller: &Caller,
        token: Option<&str>,
    ) -> Result<Self, Failure> {
        let stream = TcpStream::connect(address).await.map_err(lost)?;
        stream.set_nodelay(true).map_err(lost)?;
        let mut connection = Self {
            socket: Framed::new(stream, PgWireMessageClientCodec::default()),
            parameters: BTreeMap::new(),
            idle: true,
        };
        let mut startup = Startup::new();
        let parameters = &mut startup.parameters;
        parameters.insert("user".to_owned(), caller.organisation.clone());
        parameters.insert("database".to_owned(), caller.route.clone());
        if let Some(token) = token {
            parameters.insert(TOKEN_PARAMETER.to_owned(), token.to_owned());
        }
        connection
            .send(PgWireFrontendMessage::Startup(startup))
            .await?;
        loop {
            match connection.receive().await? {
                PgWireBackendMessage::Authentication(Authentication::CleartextPassword) => {
                    let password = Password::new(caller.key.clone());
                    let family = PasswordMessageFamily::Password(password);
                    connection
                        .send(PgWireFrontendMessage::PasswordMessageFamily(family))
                        .await?;
                }
                PgWireBackendMessage::ReadyForQuery(_) => return Ok(connection),
                PgWireBackendMessage::ErrorResponse(error) => return Err(refused(&error)),
                message => connection.store_parameter(message),
            }
        }
    }

    /// Runs one statement and waits until the daemon is ready for the next one.
    pub async fn query(&mut self, sql: &str, limit: Duration) -> Result<Answer, Failure> {
        match timeout(limit, self.run_query(sql)).await {
            Ok(result) => result,
            Err(_) => Err(Failure::TimedOut),
        }
    }

    async fn run_query(&mut self, sql: &str) -> Result<Answer, Failure> {
        let query = Query::new(sql.to_owned());
        self.send(PgWireFrontendMessage::Query(query)).await?;
        let mut answer = Answer::default();
        let mut failure = None;
        loop {
            let message = match (self.receive().await, failure) {
                (Ok(message), earlier) => {
                    failure = earlier;
                    message
                }
                (Err(_), Some(earlier)) => return Err(Failure::after_disconnect(earlier)),
                (Err(end), None) => return Err(end),
            };
            match message {
                PgWireBackendMessage::DataRow(row) => answer.rows.push(answer::columns(row.data)),
                PgWireBackendMessage::CommandComplete(complete) => answer.tag = complete.tag,
                PgWireBackendMessage::ErrorResponse(error) => failure = Some(refused(&error)),
                PgWireBackendMessage::ReadyForQuery(ready) => {
                    self.idle = ready.status == TransactionStatus::Idle;
                    return failure.map_or(Ok(answer), Err);
                }
                message => self.store_parameter(message),
            }
        }
    }

    /// Whether the connection is still open. Processes the messages that have already arrived; any
    /// but a parameter status or a notice means that the daemon is ending the connection.
    pub fn is_open(&mut self) -> bool {
        while let Some(message) = self.socket.next().now_or_never() {
            match message {
                Some(Ok(message @ PgWireBackendMessage::ParameterStatus(_))) => {
                    self.store_parameter(message)
                }
                Some(Ok(PgWireBackendMessage::NoticeResponse(_))) => {}
                _ => return false,
            }
        }
        true
    }

    /// Whether no transaction is open.
    pub fn idle(&self) -> bool {
        self.idle
    }

    /// Latest session token that the daemon sent.
    pub fn token(&self) -> Option<&str> {
        self.parameters.get(TOKEN_PARAMETER).map(String::as_str)
    }

    /// Closes the connection with a Terminate message.
    pub async fn close(mut self) {
        let message = PgWireFrontendMessage::Terminate(Terminate::new());
        let _ = self.send(message).await;
    }

    async fn send(&mut self, message: PgWireFrontendMessage) -> Result<(), Failure> {
        self.socket.send(message).await.map_err(lost)
    }

    async fn receive(&mut self) -> Result<PgWireBackendMessage, Failure> {
        match self.socket.next().await {
            Some(Ok(message)) => Ok(message),
            Some(Err(error)) => Err(lost(error)),
            None => Err(Failure::Lost("the daemon closed the connection".to_owned())),
        }
    }

    fn store_parameter(&mut self, message: PgWireBackendMessage) {
        if let PgWireBackendMessage::ParameterStatus(status) = message {
            self.parameters.insert(status.name, status.value);
        }
    }
}

fn lost(error: impl std::fmt::Display) -> Failure {
    Failure::Lost(error.to_string())
}

fn refused(error: &ErrorResponse) -> Failure {
    let field = |code: u8| {
        let found = error.fields.iter().find(|(name, _)| *name == code);
        found.map(|(_, text)| text.clone()).unwrap_or_default()
    };
    Failure::Refused {
        code: field(b'C'),
        message: field(b'M'),
        detail: field(b'D'),
    }
}

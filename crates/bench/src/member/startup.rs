//! Start of a connection: negotiation, password, connection limit.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use pgwire::messages::PgWireBackendMessage;
use pgwire::messages::PgWireFrontendMessage;
use pgwire::messages::SslNegotiationMetaMessage;
use pgwire::messages::response::SslResponse;
use pgwire::messages::startup::Authentication;
use pgwire::messages::startup::BackendKeyData;
use pgwire::messages::startup::ParameterStatus;
use pgwire::messages::startup::SecretKey;
use tokio::sync::Notify;

use crate::member::SqlError;
use crate::member::connection::Wire;
use crate::member::outbox::Outbox;
use crate::member::recording::Startup;
use crate::member::shared::CancelTarget;
use crate::member::shared::Shared;
use crate::member::shared::lock;

/// Reported to clients, some of which refuse servers without it.
pub(crate) const SERVER_VERSION: &str = "16.0";
/// User of data connections, which the connection limit covers.
pub(crate) const DATA_USER: &str = "proxy";
/// User of the platform verbs.
pub(crate) const PLATFORM_USER: &str = "platform";

/// An accepted connection. Gives back its place when it is dropped.
pub(crate) struct Client {
    shared: Arc<Shared>,
    pub(crate) id: i32,
    pub(crate) user: String,
    /// Variables set by the startup message.
    pub(crate) options: BTreeMap<String, String>,
    pub(crate) cancel: Arc<CancelTarget>,
    counted: bool,
}

impl Drop for Client {
    fn drop(&mut self) {
        lock(&self.shared.cancel).remove(&self.id);
        if self.counted {
            self.shared.recording().connections -= 1;
        }
    }
}

/// Performs the start of a connection; none if it was a cancel request or was closed.
pub(crate) async fn accept(
    shared: &Arc<Shared>,
    wire: &mut Wire,
    outbox: &mut Outbox,
) -> Result<Option<Client>, SqlError> {
    let parameters = loop {
        match wire.read().await? {
            None => return Ok(None),
            Some(PgWireFrontendMessage::SslNegotiation(SslNegotiationMetaMessage::None)) => {
                wire.context.awaiting_frontend_ssl = false;
            }
            Some(PgWireFrontendMessage::SslNegotiation(_)) => {
                // The stand-in offers no TLS; the refusal has the same form for GSS.
                outbox.push(PgWireBackendMessage::SslResponse(SslResponse::Refuse))?;
                wire.flush(outbox).await?;
            }
            Some(PgWireFrontendMessage::CancelRequest(request)) => {
                if let Some(secret) = request.secret_key.as_i32() {
                    cancel(shared, request.pid, secret);
                }
                return Ok(None);
            }
            Some(PgWireFrontendMessage::Startup(startup)) => break startup.parameters,
            Some(_) => return Err(SqlError::fatal("08P01", "expected a startup message")),
        }
    };
    wire.context.awaiting_frontend_startup = false;
    let user = parameters.get("user").cloned().unwrap_or_default();
    let password = read_password(shared, wire, outbox).await?;
    shared.recording().startup(Startup {
        parameters: parameters.clone(),
        password: password.clone(),
    });
    if password != shared.settings.password {
        return Err(SqlError::fatal(
            "28P01",
            format!("password authentication failed for user \"{user}\""),
        ));
    }
    tokio::time::sleep(Duration::from_millis(shared.settings.connect_ms)).await;
    let client = register(shared, user, parameters)?;
    greet(outbox, &client)?;
    Ok(Some(client))
}

async fn read_password(
    shared: &Shared,
    wire: &mut Wire,
    outbox: &mut Outbox,
) -> Result<Option<String>, SqlError> {
    if shared.settings.password.is_none() {
        return Ok(None);
    }
    outbox.push(PgWireBackendMessage::Authentication(
        Authentication::CleartextPassword,
    ))?;
    wire.flush(outbox).await?;
    match wire.read().await? {
        Some(PgWireFrontendMessage::PasswordMessageFamily(message)) => {
            let message = message
                .into_password()
                .map_err(|e| SqlError::fatal("08P01", e.to_string()))?;
            Ok(Some(message.password))
        }
        _ => Err(SqlError::fatal("08P01", "expected a password message")),
    }
}

fn register(
    shared: &Arc<Shared>,
    user: String,
    mut parameters: BTreeMap<String, String>,
) -> Result<Client, SqlError> {
    let counted = user == DATA_USER;
    if counted {
        let mut recording = shared.recording();
        if recording.connections >= shared.settings.connections {
            return Err(SqlError::fatal("53300", "sorry, too many clients already"));
        }
        recording.connections += 1;
        recording.peak = recording.peak.max(recording.connections);
    }
    let id = shared.next_connection.fetch_add(1, Ordering::Relaxed);
    let cancel = Arc::new(CancelTarget {
        secret: rand::random(),
        notify: Notify::new(),
        interrupt: Mutex::new(None),
    });
    lock(&shared.cancel).insert(id, Arc::clone(&cancel));
    parameters.retain(|name, _| !["user", "database", "options"].contains(&name.as_str()));
    Ok(Client {
        shared: Arc::clone(shared),
        id,
        user,
        options: parameters,
        cancel,
        counted,
    })
}

fn greet(outbox: &mut Outbox, client: &Client) -> Result<(), SqlError> {
    outbox.push(PgWireBackendMessage::Authentication(Authentication::Ok))?;
    for (name, value) in [
        ("server_version", SERVER_VERSION),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("TimeZone", "UTC"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
        ("session_authorization", &client.user),
    ] {
        outbox.push(PgWireBackendMessage::ParameterStatus(ParameterStatus::new(
            name.to_owned(),
            value.to_owned(),
        )))?;
    }
    outbox.push(PgWireBackendMessage::BackendKeyData(BackendKeyData::new(
        client.id,
        SecretKey::I32(client.cancel.secret),
    )))
}

/// Interrupts the statement that a connection executes now, if any.
fn cancel(shared: &Shared, id: i32, secret: i32) {
    let target = lock(&shared.cancel).get(&id).cloned();
    if let Some(target) = target.filter(|target| target.secret == secret) {
        target.notify.notify_waiters();
        if let Some(interrupt) = &*lock(&target.interrupt) {
            interrupt.interrupt();
        }
    }
}

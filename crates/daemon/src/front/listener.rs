//! Accepts client connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio_rustls::TlsAcceptor;

use crate::front::auth;
use crate::front::client::Client;
use crate::front::client::Stream;
use crate::front::context::SessionContext;
use crate::front::refusal::Refusal;
use crate::front::session::CLOSE_TIMEOUT;
use crate::front::session::Session;
use crate::front::startup;
use crate::front::startup::ConnectionRequest;
use crate::front::startup::Parameters;
use crate::pool::socket;
use crate::wire::encode;
use crate::wire::frame::Frame;
use crate::wire::tag;

/// Time limit from accepting a connection to the end of its startup.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(10);
/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Server parameters that drivers expect at the start of a session.
const PARAMETERS: [(&str, &str); 6] = [
    ("server_version", "16.0"),
    ("server_encoding", "UTF8"),
    ("client_encoding", "UTF8"),
    ("DateStyle", "ISO, MDY"),
    ("integer_datetimes", "on"),
    ("standard_conforming_strings", "on"),
];

/// Running listener for client connections.
#[derive(Debug)]
pub struct Listener {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Listener {
    /// Binds the address and serves until a planned stop, then ends sessions between transactions.
    pub async fn spawn(
        address: SocketAddr,
        tls: Option<TlsAcceptor>,
        context: Arc<SessionContext>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, tls, context));
        Ok(Self { address, task })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for at most `limit` until all sessions have ended. Returns whether they did.
    pub async fn join(mut self, limit: Duration) -> bool {
        let ended = tokio::time::timeout(limit, &mut self.task).await.is_ok();
        if !ended {
            self.task.abort();
        }
        ended
    }
}

async fn accept(listener: TcpListener, tls: Option<TlsAcceptor>, context: Arc<SessionContext>) {
    let mut sessions = JoinSet::new();
    let mut stop = context.stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stop.wait_for(|stop| *stop) => break,
        };
        while sessions.try_join_next().is_some() {}
        match accepted {
            Ok((stream, _)) => {
                let context = Arc::clone(&context);
                sessions.spawn(serve_connection(stream, tls.clone(), context));
            }
            Err(error) => {
                tracing::warn!(event = 200, %error, "cannot accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    drop(listener);
    while sessions.join_next().await.is_some() {}
}

async fn serve_connection(
    stream: TcpStream,
    tls: Option<TlsAcceptor>,
    context: Arc<SessionContext>,
) {
    if socket::set_options(&stream).is_err() {
        return;
    }
    let deadline = Instant::now() + STARTUP_TIMEOUT;
    let opening = startup::read(stream, tls.as_ref());
    match tokio::time::timeout_at(deadline.into(), opening).await {
        Ok(Ok(ConnectionRequest::Session(stream, parameters))) => {
            if let Some(session) = start_session(stream, &parameters, context, deadline).await {
                session.serve().await;
            }
        }
        Ok(Ok(ConnectionRequest::Cancel(key))) => context.cancel_registry.cancel(key).await,
        Ok(Ok(ConnectionRequest::Refused(stream, refusal))) => {
            refuse(Client::new(stream), &refusal, &context, deadline).await;
        }
        Ok(Err(error)) => tracing::debug!(event = 201, %error, "startup failed"),
        Err(_) => tracing::debug!(event = 201, "startup timed out"),
    }
}

async fn start_session(
    stream: Box<dyn Stream>,
    parameters: &Parameters,
    context: Arc<SessionContext>,
    deadline: Instant,
) -> Option<Session> {
    let mut client = Client::new(stream);
    if context.is_draining() {
        refuse(client, &Refusal::Draining, &context, deadline).await;
        return None;
    }
    let view = Arc::clone(&context.config.borrow());
    let identity = match auth::authenticate(&mut client, parameters, &view, deadline).await {
        Ok(identity) => identity,
        Err(refusal) => {
            refuse(client, &refusal, &context, deadline).await;
            return None;
        }
    };
    context.limits.ready(&identity.organisation).await;
    let mut session = Session::new(Arc::clone(&context), client, identity);
    for (name, value) in &parameters.variables {
        if let Err(refusal) = session.set_startup_variable(name, value) {
            session.client.close(refusal.frame(true), deadline).await;
            return None;
        }
    }
    let frames = startup_answer(&session, parameters);
    for frame in frames {
        session.client.feed(frame, deadline).await.ok()?;
    }
    session.client.flush(deadline).await.ok()?;
    Some(session)
}

fn startup_answer(session: &Session, parameters: &Parameters) -> Vec<Frame> {
    let mut frames = Vec::new();
    if let Some(unknown) = &parameters.negotiate {
        // NegotiateProtocolVersion: minor version 0 and the unknown options.
        let mut body = vec![0, 0, 0, 0];
        body.extend_from_slice(&u32::try_from(unknown.len()).unwrap_or(0).to_be_bytes());
        for name in unknown {
            body.extend_from_slice(name.as_bytes());
            body.push(0);
        }
        frames.push(Frame::new(b'v', &body));
    }
    frames.push(Frame::new(tag::AUTHENTICATION, &[0; 4]));
    for (name, value) in PARAMETERS {
        frames.push(encode::parameter_status(name, value));
    }
    let (pid, secret) = session.cancel_key();
    let mut key = pid.to_be_bytes().to_vec();
    key.extend_from_slice(&secret.to_be_bytes());
    frames.push(Frame::new(tag::BACKEND_KEY, &key));
    frames.push(encode::ready_for_query(session.status()));
    frames
}

async fn refuse(
    mut client: Client,
    refusal: &Refusal,
    context: &SessionContext,
    deadline: Instant,
) {
    tracing::debug!(event = 206, code = refusal.code(), %refusal, "connection refused");
    context.metrics.count_refusal("", refusal.code());
    let limit = deadline.min(Instant::now() + CLOSE_TIMEOUT);
    client.close(refusal.frame(true), limit).await;
}

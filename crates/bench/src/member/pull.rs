//! Pulls entries from the primary.

use std::net::SocketAddr;
use std::time::Duration;

use magnoliahatch_core::ids::Term;
use thiserror::Error;
use tokio::time::timeout;
use tokio_postgres::Client;
use tokio_postgres::NoTls;
use tokio_postgres::SimpleQueryMessage;

use crate::member::Role;
use crate::member::group::Group;
use crate::member::group::Pulled;
use crate::member::shared::Shared;
use crate::member::startup::PLATFORM_USER;

/// How long the primary may hold a pull while it has nothing to send.
const HOLD: Duration = Duration::from_millis(300);
/// Time after which a connection that does not answer is replaced.
const LIMIT: Duration = Duration::from_millis(1000);
/// Pause after a failure.
const RETRY: Duration = Duration::from_millis(25);

#[derive(Debug, Error)]
enum PullError {
    #[error("no answer within {LIMIT:?}")]
    Timeout(#[from] tokio::time::error::Elapsed),
    #[error("{0}")]
    Postgres(#[from] tokio_postgres::Error),
    #[error("not a pull's answer: {0}")]
    Decode(#[from] serde_json::Error),
    #[error("the answer has no row")]
    Empty,
    #[error("cannot write the log: {0}")]
    Log(#[from] std::io::Error),
}

/// Where to pull from, and in which term.
fn source(group: &Group) -> Option<(Term, SocketAddr)> {
    let upstream = group
        .durable
        .upstream
        .filter(|_| group.durable.role == Role::Replica);
    upstream.map(|address| (group.durable.term, address))
}

/// Pulls while this member is a replica, until the task is dropped.
pub(crate) async fn run(shared: &Shared) {
    loop {
        let (term, address) = shared.wait_for(|group| source(group)).await;
        let moved = shared.wait_for(|group| (source(group) != Some((term, address))).then_some(()));
        let error = tokio::select! {
            Err(error) = follow(shared, term, address) => error,
            () = moved => continue,
        };
        tracing::debug!(event = 9103, member = shared.settings.member, %address, %error, "pull failed");
        tokio::time::sleep(RETRY).await;
    }
}

async fn follow(shared: &Shared, term: Term, address: SocketAddr) -> Result<(), PullError> {
    let mut config = tokio_postgres::Config::new();
    config
        .host(address.ip().to_string())
        .port(address.port())
        .user(PLATFORM_USER);
    if let Some(password) = &shared.settings.password {
        config.password(password);
    }
    let (client, connection) = timeout(LIMIT, config.connect(NoTls)).await??;
    let pulling = async {
        loop {
            shared.gate.thawed().await;
            timeout(LIMIT, pull(shared, &client, term)).await??;
        }
    };
    tokio::select! {
        result = pulling => result,
        result = connection => result.map_err(PullError::from),
    }
}

async fn pull(shared: &Shared, client: &Client, term: Term) -> Result<(), PullError> {
    let last = shared.group().log.last();
    let sql = format!(
        "SELECT * FROM platform_pull('{}', {term}, {}, {}, {})",
        shared.settings.member,
        last.term,
        last.index,
        HOLD.as_millis()
    );
    let messages = client.simple_query(&sql).await?;
    let text = messages.iter().find_map(|message| match message {
        SimpleQueryMessage::Row(row) => row.get(0),
        _ => None,
    });
    let pulled: Pulled = serde_json::from_str(text.ok_or(PullError::Empty)?)?;
    shared.gate.thawed().await;
    if !matches!(&pulled, Pulled::Entries(entries) if entries.is_empty()) {
        shared.change(|group| group.receive(term, last.index, pulled))?;
    }
    Ok(())
}

//! Confirms reads at the primary for organisations that accept no stale data.
//!
//! If a replica still reports the primary's term after the read, no majority had granted a higher
//! term before the read, since any such majority would include the primary or that replica.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::role::Role;
use tokio::sync::Mutex;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::member_commands::CommandConnection;
use crate::monitor::group::Group;

/// Shortest time between two checks; reads that arrive meanwhile share the next one.
const MIN_SPACING: Duration = Duration::from_millis(2);
/// Delay before a check is repeated because no replica answered.
const RETRY_DELAY: Duration = Duration::from_millis(20);
/// Timeout of a call; latency between regions is 8 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Handle of the freshness checks of one database group; the task ends when it is dropped.
#[derive(Debug)]
pub struct FreshnessChecker {
    requests: mpsc::UnboundedSender<CheckRequest>,
}

#[derive(Debug)]
struct CheckRequest {
    term: Term,
    reply: oneshot::Sender<CheckResult>,
}

/// Result of one check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckResult {
    /// A replica still follows the primary of the term.
    Current,
    /// A replica reported a newer term.
    Superseded,
    /// No replica gave an answer that decides.
    Undecided,
}

impl FreshnessChecker {
    pub fn spawn(
        database: DatabaseId,
        addresses: BTreeMap<MemberId, SocketAddr>,
        group: Arc<Group>,
    ) -> Self {
        let (requests, mut receiver) = mpsc::unbounded_channel::<CheckRequest>();
        tokio::spawn(async move {
            let connections: BTreeMap<_, _> = addresses
                .into_iter()
                .map(|(name, address)| (name, (address, Mutex::new(None))))
                .collect();
            let mut next = Instant::now();
            while let Some(first) = receiver.recv().await {
                tokio::time::sleep_until(next.into()).await;
                next = Instant::now() + MIN_SPACING;
                let mut batch = vec![first];
                while let Ok(more) = receiver.try_recv() {
                    batch.push(more);
                }
                let primary = group.primary().map(|(name, _)| name);
                // Dropping the calls to slower members also closes their connections.
                let mut calls: FuturesUnordered<_> = connections
                    .iter()
                    .filter(|(name, _)| Some(*name) != primary.as_ref())
                    .map(|(_, (address, connection))| replica_term(*address, &database, connection))
                    .collect();
                let mut newest = None;
                while let Some(found) = calls.next().await {
                    newest = newest.max(found.map(|(term, _)| term));
                    let follows =
                        |request: &CheckRequest| found == Some((request.term, Role::Replica));
                    let (done, rest): (Vec<_>, _) = batch.into_iter().partition(follows);
                    batch = rest;
                    for request in done {
                        let _ = request.reply.send(CheckResult::Current);
                    }
                    if batch.is_empty() {
                        break;
                    }
                }
                for request in batch {
                    let superseded = newest.is_some_and(|newest| newest > request.term);
                    let result = if superseded {
                        CheckResult::Superseded
                    } else {
                        CheckResult::Undecided
                    };
                    let _ = request.reply.send(result);
                }
            }
        });
        Self { requests }
    }

    /// Whether a replica that is queried after this call still reports `term`. The check is
    /// repeated until the deadline while no replica answers.
    pub async fn check(&self, term: Term, deadline: Instant) -> bool {
        let checks = async {
            loop {
                let (reply, receiver) = oneshot::channel();
                if self.requests.send(CheckRequest { term, reply }).is_err() {
                    return false;
                }
                match receiver.await {
                    Ok(CheckResult::Current) => return true,
                    Ok(CheckResult::Undecided) => tokio::time::sleep(RETRY_DELAY).await,
                    Ok(CheckResult::Superseded) | Err(_) => return false,
                }
            }
        };
        let result = tokio::time::timeout_at(deadline.into(), checks).await;
        result.unwrap_or(false)
    }
}

/// Queries the term and role of a member; returns none if it does not answer.
async fn replica_term(
    address: SocketAddr,
    database: &str,
    connection: &Mutex<Option<CommandConnection>>,
) -> Option<(Term, Role)> {
    let mut connection = connection.lock().await;
    let deadline = Instant::now() + CALL_TIMEOUT;
    // The connection may have been closed since the last call; a new one is tried once.
    let mut open = connection.take();
    loop {
        let (mut commands, reused) = match open.take() {
            Some(commands) => (commands, true),
            None => (
                CommandConnection::open(address, database, deadline)
                    .await
                    .ok()?,
                false,
            ),
        };
        match commands.status(deadline).await {
            Ok(status) => {
                *connection = Some(commands);
                return Some((status.term, status.role));
            }
            Err(_) if reused => {}
            Err(_) => return None,
        }
    }
}

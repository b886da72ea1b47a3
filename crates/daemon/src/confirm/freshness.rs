//! Confirms reads of organisations that accept no age.
//!
//! A replica that still reports the primary's term after the read shows that no majority had
//! granted a higher term before the read: such a majority would include the primary or that
//! replica.

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

use crate::monitor::group::Group;
use crate::verbs::Verbs;

/// Shortest time between two calls; reads that arrive meanwhile share the next one.
const SPACING: Duration = Duration::from_millis(2);
/// Time for one call; latency between regions is 8 ms.
const CALL_TIMEOUT: Duration = Duration::from_millis(400);

/// Asker of one database group; the task ends when this is dropped.
#[derive(Debug)]
pub struct Freshness {
    asks: mpsc::UnboundedSender<Ask>,
}

#[derive(Debug)]
struct Ask {
    term: Term,
    answer: oneshot::Sender<bool>,
}

impl Freshness {
    pub fn spawn(
        database: DatabaseId,
        addresses: BTreeMap<MemberId, SocketAddr>,
        group: Arc<Group>,
    ) -> Self {
        let (asks, mut receiver) = mpsc::unbounded_channel::<Ask>();
        tokio::spawn(async move {
            let links: BTreeMap<_, _> = addresses
                .into_iter()
                .map(|(name, address)| (name, (address, Mutex::new(None))))
                .collect();
            let mut next = Instant::now();
            while let Some(first) = receiver.recv().await {
                tokio::time::sleep_until(next.into()).await;
                next = Instant::now() + SPACING;
                let mut batch = vec![first];
                while let Ok(more) = receiver.try_recv() {
                    batch.push(more);
                }
                let primary = group.primary().map(|(name, _)| name);
                // Dropping the calls of the slower members also drops their connections.
                let mut calls: FuturesUnordered<_> = links
                    .iter()
                    .filter(|(name, _)| Some(*name) != primary.as_ref())
                    .map(|(_, (address, link))| replica_term(*address, &database, link))
                    .collect();
                while let Some(found) = calls.next().await {
                    let (done, rest) = batch.into_iter().partition(|a| Some(a.term) == found);
                    batch = rest;
                    for ask in done {
                        let _ = ask.answer.send(true);
                    }
                    if batch.is_empty() {
                        break;
                    }
                }
                for ask in batch {
                    let _ = ask.answer.send(false);
                }
            }
        });
        Self { asks }
    }

    /// Whether a replica, asked from now on, still reports `term`.
    pub async fn check(&self, term: Term, deadline: Instant) -> bool {
        let (answer, receiver) = oneshot::channel();
        if self.asks.send(Ask { term, answer }).is_err() {
            return false;
        }
        matches!(
            tokio::time::timeout_at(deadline.into(), receiver).await,
            Ok(Ok(true))
        )
    }
}

/// Term that a replica follows; none if it cannot be asked or follows no primary.
async fn replica_term(
    address: SocketAddr,
    database: &str,
    link: &Mutex<Option<Verbs>>,
) -> Option<Term> {
    let mut link = link.lock().await;
    let deadline = Instant::now() + CALL_TIMEOUT;
    // The open connection may have ended since the last call; a new one is tried once.
    let mut open = link.take();
    loop {
        let (mut verbs, kept) = match open.take() {
            Some(verbs) => (verbs, true),
            None => (Verbs::open(address, database, deadline).await.ok()?, false),
        };
        match verbs.status(deadline).await {
            Ok(status) => {
                *link = Some(verbs);
                return (status.role == Role::Replica).then_some(status.term);
            }
            Err(_) if kept => {}
            Err(_) => return None,
        }
    }
}

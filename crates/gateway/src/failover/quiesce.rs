//! Makes all hosts stop using the primary of a service.

use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::position::LogPosition;
use rand::seq::SliceRandom;

use crate::clock;
use crate::mesh::call_error::CallError;
use crate::mesh::frame::Call;
use crate::mesh::frame::Response;
use crate::node::MAX_HOST_LIST_AGE;
use crate::node::Node;
use crate::node::QUIESCE_TIMEOUT;
use crate::platform::Platform;

/// Timeout of a quiesce call that is relayed by another host.
const RELAY_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Number of hosts that are asked at the same time to relay a call to a host that does not answer.
/// When two data centres cannot reach each other, a third one can usually reach both.
const RELAY_COUNT: usize = 3;
/// Pause before a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What the hosts reported when they stopped using the primary.
#[derive(Debug)]
pub struct QuiesceReports {
    /// Last commit that any of them acknowledged.
    pub acknowledged: Option<LogPosition>,
    /// Whether every host that may have acknowledged a commit has reported its last one.
    pub complete: bool,
}

/// Waits until no host uses the primary by a record older than `revision`, which was written at
/// `written`: each has confirmed, has ended, or has a view that is too old.
pub async fn quiesce_hosts<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    revision: Revision,
    written: Duration,
) -> QuiesceReports {
    let quiesce = Quiesce {
        node,
        service,
        revision,
        expiry: written + node.settings.bounds.max_primary_record_age(),
    };
    quiesce.run().await
}

struct Quiesce<'a, P: Platform> {
    node: &'a Rc<Node<P>>,
    service: &'a str,
    revision: Revision,
    /// When hosts that have not seen the record stop using the primary, because their view is too
    /// old.
    expiry: Duration,
}

impl<P: Platform> Quiesce<'_, P> {
    async fn run(&self) -> QuiesceReports {
        let hosts: Vec<HostId> = {
            let view = self.node.view.borrow();
            let own = &self.node.settings.host;
            let others = view.hosts().into_iter().map(|(id, _)| id.clone());
            others.filter(|id| id != own).collect()
        };
        let remote = futures::future::join_all(hosts.iter().map(|h| self.quiesce_host(h)));
        let local = self.node.quiesce(self.service, self.revision);
        let (remote, local) = futures::join!(remote, local);
        // A host whose registration was removed recently may still use the primary by an older
        // view, until its list of hosts or its copy of the primary record is too old.
        let removed = self
            .node
            .view
            .borrow()
            .last_unexpected_removal()
            .map(|at| at + MAX_HOST_LIST_AGE);
        let removed = removed.filter(|expiry| *expiry > clock::now());
        if let Some(expiry) = removed {
            let expiry = expiry.min(self.expiry);
            tokio::time::sleep(expiry.saturating_sub(clock::now())).await;
        }
        QuiesceReports {
            acknowledged: remote.iter().copied().flatten().fold(local, Option::max),
            complete: removed.is_none() && remote.iter().all(Option::is_some),
        }
    }

    /// Asks a host to stop using the primary, until it confirms or can no longer use it. Returns
    /// the host's last acknowledged commit, or `None` if the host did not report it.
    async fn quiesce_host(&self, host: &str) -> Option<Option<LogPosition>> {
        while clock::now() < self.expiry {
            let call = Call::Quiesce {
                service: self.service.to_owned(),
                revision: self.revision,
            };
            match self.node.mesh.call(host, call, QUIESCE_TIMEOUT).await {
                Ok(Response::Quiesced(acknowledged)) => return Some(acknowledged),
                Err(CallError::Ended) => return None,
                other => {
                    tracing::debug!(
                        event = 658,
                        host,
                        ?other,
                        "host has not confirmed that it stopped using the primary"
                    );
                }
            }
            let relayed = self.quiesce_through_relays(host).await;
            if relayed.is_some() {
                return relayed;
            }
            let left = self.expiry.saturating_sub(clock::now());
            tokio::time::sleep(RETRY_PAUSE.min(left)).await;
        }
        None
    }

    /// Asks a host through a few other hosts.
    async fn quiesce_through_relays(&self, host: &str) -> Option<Option<LogPosition>> {
        let mut relays: Vec<HostId> = self.node.live_hosts();
        relays.retain(|h| h != host && *h != self.node.settings.host);
        relays.shuffle(&mut rand::rng());
        let calls = relays.iter().take(RELAY_COUNT).map(async |relay| {
            let call = Call::QuiesceAt {
                host: host.to_owned(),
                service: self.service.to_owned(),
                revision: self.revision,
            };
            self.node.mesh.call(relay, call, RELAY_CALL_TIMEOUT).await
        });
        let answers = futures::future::join_all(calls).await;
        answers.into_iter().find_map(|answer| match answer {
            Ok(Response::Quiesced(acknowledged)) => Some(acknowledged),
            _ => None,
        })
    }
}

//! Makes all hosts stop using the primary of a service.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::position::LogPosition;
use rand::seq::SliceRandom;

use crate::clock;
use crate::mesh::call_error::CallError;
use crate::mesh::frame::Call;
use crate::mesh::frame::Response;
use crate::model::kind::ObjectKind;
use crate::node::MAX_HOST_LIST_AGE;
use crate::node::Node;
use crate::node::QUIESCE_TIMEOUT;
use crate::platform::Platform;
use crate::view::follower;

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
/// `written`: each has confirmed, has ended, or has a view that is too old. The hosts are those that
/// are registered once the record is written.
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
        let known = self.other_processes();
        let asked = self.quiesce_processes(&known);
        let unknown = self.quiesce_unknown(&known);
        let local = self.node.quiesce(self.service, self.revision);
        let (asked, unknown, local) = futures::join!(asked, unknown, local);
        let all_known = unknown.is_some();
        let remote: Vec<_> = asked
            .into_iter()
            .chain(unknown.into_iter().flatten())
            .collect();
        // A host whose registration was removed recently may still use the primary by an older
        // view, until its list of hosts or its copy of the primary record is too old.
        let removed = self
            .node
            .view
            .borrow()
            .processes()
            .last_unexpected_removal()
            .map(|at| at + MAX_HOST_LIST_AGE);
        let removed = removed.filter(|expiry| *expiry > clock::now());
        if let Some(expiry) = removed {
            let expiry = expiry.min(self.expiry);
            tokio::time::sleep(expiry.saturating_sub(clock::now())).await;
        }
        QuiesceReports {
            acknowledged: remote.iter().copied().flatten().fold(local, Option::max),
            complete: all_known && removed.is_none() && remote.iter().all(Option::is_some),
        }
    }

    /// The registered processes of other hosts, as far as this host knows.
    fn other_processes(&self) -> BTreeSet<(HostId, Incarnation)> {
        let view = self.node.view.borrow();
        let hosts = view.hosts().into_iter();
        hosts
            .filter(|(id, _)| **id != self.node.settings.host)
            .map(|(id, entry)| (id.clone(), entry.incarnation))
            .collect()
    }

    async fn quiesce_processes(
        &self,
        processes: &BTreeSet<(HostId, Incarnation)>,
    ) -> Vec<Option<Option<LogPosition>>> {
        let calls = processes.iter().map(|(host, _)| self.quiesce_host(host));
        futures::future::join_all(calls).await
    }

    /// Asks the processes that are registered in the store but not among the known ones: the list
    /// of hosts may be older than the record. Those that register from now on use no primary by an
    /// older record. Returns `None` if the list could not be read before the expiry.
    async fn quiesce_unknown(
        &self,
        known: &BTreeSet<(HostId, Incarnation)>,
    ) -> Option<Vec<Option<Option<LogPosition>>>> {
        let left = self.expiry.saturating_sub(clock::now());
        tokio::time::timeout(left, self.list_hosts()).await.ok()?;
        let registered = self.other_processes();
        let unknown = registered.difference(known).cloned().collect();
        Some(self.quiesce_processes(&unknown).await)
    }

    /// Reads the list of hosts, trying again until the store answers.
    async fn list_hosts(&self) {
        let kind = ObjectKind::Hosts;
        while let Err(error) = follower::list_kind(self.node, kind).await {
            tracing::debug!(event = 619, ?kind, %error, "could not list the objects of a kind");
            tokio::time::sleep(RETRY_PAUSE).await;
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

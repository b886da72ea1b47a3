//! Replaces the primary of a service.
//!
//! The record first says that a change is under way; hosts then use no primary. Once every host
//! has confirmed, or its view is too old to use one, a member is promoted and recorded.

use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::ids::Term;
use magnoliahatch_core::position::LogPosition;
use rand::seq::SliceRandom;

use crate::clock;
use crate::member::control;
use crate::mesh::call_error::CallError;
use crate::mesh::frame::Call;
use crate::mesh::frame::Return;
use crate::model::command::Command;
use crate::model::kind::Kind;
use crate::model::object::Content;
use crate::model::primary_record::PrimaryChange;
use crate::model::primary_record::PrimaryRecord;
use crate::node::HOSTS_AGE;
use crate::node::Node;
use crate::node::QUIESCE_LIMIT;
use crate::platform::Platform;
use crate::platform::PromotionOrder;
use crate::platform::Store;
use crate::policy::successor;
use crate::policy::successor::Contender;
use crate::policy::successor::Demand;
use crate::policy::successor::Successor;
use crate::promote_error::PromoteError;
use crate::store_error::StoreError;

/// Limit of a question that another host passes on.
const RELAY_LIMIT: Duration = Duration::from_millis(800);
/// Hosts that are asked at a time to reach one that does not answer. Where two data centres cannot
/// reach each other, a third one usually reaches both.
const RELAYS: usize = 3;
/// Time in which the chosen member may receive what a leaving primary still holds.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(500);
/// Pause between two questions to a member.
const POLL_PAUSE: Duration = Duration::from_millis(30);
/// Pause before a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Time in which a promotion that was accepted takes effect; promotions take some hundred ms.
const EFFECT_LIMIT: Duration = Duration::from_secs(3);
/// A holder gives up after this, well before a successor may take over.
const HOLD_LIMIT: Duration = Duration::from_secs(6);

/// Carries out a change from the record that was seen. `takeover` continues the change of a holder
/// that may still be running.
pub async fn replace<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    record: PrimaryRecord,
    revision: Revision,
    takeover: bool,
) {
    let started = clock::now();
    let candidate = record.change.as_ref().and_then(|c| c.candidate.clone());
    let mut change = Change {
        node,
        service,
        record,
        revision,
        until: started + HOLD_LIMIT + node.settings.bounds.primary_view(),
    };
    let result = change.run(candidate, takeover).await;
    let took = clock::now().saturating_sub(started).as_millis() as u64;
    let primary = &change.record.primary;
    match result {
        Ok(()) => tracing::info!(event = 654, service, primary, took, "primary replaced"),
        Err(error) => tracing::warn!(event = 655, service, %error, took, "primary not replaced"),
    }
}

/// Makes the old primary a replica, if it can be reached.
async fn demote<P: Platform>(node: Rc<Node<P>>, service: String, old: MemberId, term: Term) {
    let demoted = control::run(&node, &old, Command::Demote(term), control::STATUS_LIMIT);
    let reached = demoted.await.is_some();
    tracing::info!(event = 656, service, old, reached, "old primary demoted");
}

/// Why a change of primary ended without success.
#[derive(Debug, thiserror::Error)]
enum ChangeError {
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("no member can be promoted")]
    NoCandidate,
    #[error("the promotion did not take effect in time")]
    NoEffect,
}

struct Change<'a, P: Platform> {
    node: &'a Rc<Node<P>>,
    service: &'a str,
    record: PrimaryRecord,
    revision: Revision,
    until: Duration,
}

impl<P: Platform> Change<'_, P> {
    async fn run(&mut self, known: Option<MemberId>, takeover: bool) -> Result<(), ChangeError> {
        let old = self.record.primary.clone();
        self.write(known.clone(), true).await?;
        let written = clock::now();
        let mut demand = self.stop_use(written).await;
        if takeover {
            // The previous holder may still be about to send its order.
            let wait =
                (written + self.node.settings.bounds.primary_view()).saturating_sub(clock::now());
            tokio::time::sleep(wait).await;
        }
        let candidate = match known {
            Some(member) => member,
            None => match self.candidate(&old, &mut demand).await {
                Some(member) => member,
                None => {
                    self.restore(&old).await?;
                    return Err(ChangeError::NoCandidate);
                }
            },
        };
        self.write(Some(candidate.clone()), true).await?;
        if !self.promote(&candidate).await? {
            // Nothing was ordered: the member is not running.
            self.restore(&old).await?;
            return Err(ChangeError::NoCandidate);
        }
        let term = self.effect(&candidate).await?;
        self.record.primary = candidate;
        self.write(None, false).await?;
        // No host uses the old primary any longer, so nothing waits for its answer.
        let demotion = demote(self.node.clone(), self.service.to_owned(), old, term);
        tokio::task::spawn_local(demotion);
        Ok(())
    }

    /// Writes the record; repeats until the store answers or another writer was faster.
    async fn write(
        &mut self,
        candidate: Option<MemberId>,
        changing: bool,
    ) -> Result<(), ChangeError> {
        let change = changing.then(|| PrimaryChange {
            holder: self.node.settings.host.clone(),
            incarnation: self.node.incarnation,
            candidate: candidate.clone(),
        });
        self.record.change = change;
        let content = Content::Primary(self.record.clone());
        loop {
            let store = &self.node.store;
            let written = store
                .put(Kind::Primaries, self.service, Some(self.revision), &content)
                .await;
            let error = match written {
                Ok(object) => {
                    self.written(object);
                    return Ok(());
                }
                // An earlier attempt of this write may have taken effect without an answer.
                Err(StoreError::Conflict(Some(object)))
                    if object.content.as_ref() == Some(&content) =>
                {
                    self.written(*object);
                    return Ok(());
                }
                Err(StoreError::Conflict(object)) => {
                    return Err(StoreError::Conflict(object).into());
                }
                Err(error) => error,
            };
            if clock::now() >= self.until {
                return Err(error.into());
            }
            tracing::debug!(event = 657, service = self.service, %error, "record written again");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn written(&mut self, object: crate::model::object::Object) {
        self.revision = object.revision;
        let mut view = self.node.view.borrow_mut();
        view.on_written(Kind::Primaries, object, clock::now());
        drop(view);
        self.node.on_view_changed();
    }

    async fn restore(&mut self, old: &str) -> Result<(), ChangeError> {
        self.record.primary = old.to_owned();
        self.write(None, false).await
    }

    /// Ends when no host uses the primary: each has confirmed or ended, or its view has become
    /// too old. Returns what they acknowledged.
    async fn stop_use(&self, written: Duration) -> Demand {
        let hosts: Vec<HostId> = {
            let view = self.node.view.borrow();
            let own = &self.node.settings.host;
            let others = view.hosts().into_iter().map(|(id, _)| id.clone());
            others.filter(|id| id != own).collect()
        };
        let remote = futures::future::join_all(hosts.iter().map(|h| self.ask(h, written)));
        let local = self.node.quiesce(self.service, self.revision);
        let (remote, local) = futures::join!(remote, local);
        // A host whose registration was removed a moment ago may still use an older view, until
        // its list of hosts or its copy of the record is too old.
        let departed = self.node.view.borrow().departed().map(|at| at + HOSTS_AGE);
        let departed = departed.filter(|lapse| *lapse > clock::now());
        if let Some(lapse) = departed {
            let lapse = lapse.min(self.lapse(written));
            tokio::time::sleep(lapse.saturating_sub(clock::now())).await;
        }
        Demand {
            primary: None,
            synchronous: self.synchronous(),
            acknowledged: remote.iter().copied().flatten().fold(local, Option::max),
            complete: departed.is_none() && remote.iter().all(Option::is_some),
        }
    }

    /// When a host that has not seen this change can no longer use the primary.
    fn lapse(&self, written: Duration) -> Duration {
        written + self.node.settings.bounds.primary_view()
    }

    fn synchronous(&self) -> bool {
        let configuration = self.node.configuration();
        let limits = configuration.and_then(|c| c.services.get(self.service).copied());
        limits.is_some_and(|l| l.synchronous)
    }

    /// Asks a host to stop using the primary until it confirms, or cannot use it any more. Returns
    /// its last acknowledged commit; none if the host did not tell.
    async fn ask(&self, host: &str, written: Duration) -> Option<Option<LogPosition>> {
        let lapse = self.lapse(written);
        while clock::now() < lapse {
            let call = Call::Quiesce {
                service: self.service.to_owned(),
                revision: self.revision,
            };
            match self.node.mesh.call(host, call, QUIESCE_LIMIT).await {
                Ok(Return::Quiesced(acknowledged)) => return Some(acknowledged),
                Err(CallError::Ended) => return None,
                other => {
                    tracing::debug!(event = 658, host, ?other, "host has not confirmed");
                }
            }
            let relayed = self.ask_relays(host).await;
            if relayed.is_some() {
                return relayed;
            }
            let left = lapse.saturating_sub(clock::now());
            tokio::time::sleep(RETRY_PAUSE.min(left)).await;
        }
        None
    }

    /// Asks a host through some others.
    async fn ask_relays(&self, host: &str) -> Option<Option<LogPosition>> {
        let mut relays: Vec<HostId> = self.node.live_hosts();
        relays.retain(|h| h != host && *h != self.node.settings.host);
        relays.shuffle(&mut rand::rng());
        let asked = relays.iter().take(RELAYS).map(async |relay| {
            let call = Call::QuiesceAt {
                host: host.to_owned(),
                service: self.service.to_owned(),
                revision: self.revision,
            };
            self.node.mesh.call(relay, call, RELAY_LIMIT).await
        });
        let answers = futures::future::join_all(asked).await;
        answers.into_iter().find_map(|answer| match answer {
            Ok(Return::Quiesced(acknowledged)) => Some(acknowledged),
            _ => None,
        })
    }

    /// The member that has received most. A leaving primary's last writes are waited for; where no
    /// commit may be lost, a member that is certain to hold all of them.
    async fn candidate(&self, old: &str, demand: &mut Demand) -> Option<MemberId> {
        let failing = self.node.pools.find(old).is_some_and(|p| p.failing());
        if !failing {
            let status = control::status(self.node, old).await;
            demand.primary = status.map(|s| s.received);
        }
        let until = clock::now() + CATCH_UP_LIMIT;
        loop {
            let contenders = self.contenders(old, demand.synchronous).await;
            let found = successor::choose(&contenders, demand);
            let late = clock::now() >= until;
            match found {
                Successor::Ready(member) => return Some(member),
                Successor::Behind(member) if late => return Some(member),
                Successor::Unsafe if late => {
                    let service = self.service;
                    tracing::warn!(event = 662, service, ?demand, "no member can be promoted");
                    return None;
                }
                Successor::Behind(_) | Successor::Unsafe => {
                    tokio::time::sleep(POLL_PAUSE).await;
                }
            }
        }
    }

    /// All members but the old primary, with what they have received. One that cannot be promoted
    /// is asked only where its log matters.
    async fn contenders(&self, old: &str, ask_all: bool) -> Vec<Contender> {
        let mut contenders: Vec<Contender> = {
            let view = self.node.view.borrow();
            let members = view.members(self.service, clock::now());
            let others = members.into_iter().filter(|(id, _)| *id != old);
            others
                .map(|(id, entry)| Contender {
                    member: id.clone(),
                    eligible: !entry.draining
                        && view.registered(id).is_some()
                        && !view.evacuated(&entry.data_centre),
                    received: None,
                })
                .collect()
        };
        let asked = contenders.iter().map(async |c| {
            if !c.eligible && !ask_all {
                return None;
            }
            control::status(self.node, &c.member).await
        });
        let answers = futures::future::join_all(asked).await;
        for (contender, status) in contenders.iter_mut().zip(answers) {
            contender.received = status.map(|s| s.received);
        }
        contenders
    }

    /// Orders the promotion. False if the member is certainly not promoted.
    async fn promote(&self, candidate: &str) -> Result<bool, ChangeError> {
        let order = PromotionOrder {
            service: self.service.to_owned(),
            member: candidate.to_owned(),
            holder: self.node.settings.host.clone(),
            fencing_token: self.revision,
        };
        let mut unanswered = false;
        while clock::now() < self.until {
            match self.node.store.promote(&order).await {
                Ok(()) => return Ok(true),
                Err(PromoteError::Conflict) if !unanswered => return Ok(false),
                Err(error) => {
                    unanswered |= matches!(error, PromoteError::NoAnswer(_));
                    let service = self.service;
                    tracing::warn!(event = 659, service, %error, "promotion ordered again");
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
        Err(ChangeError::NoEffect)
    }

    /// Waits until the candidate leads and returns its term.
    async fn effect(&self, candidate: &str) -> Result<Term, ChangeError> {
        let until = clock::now() + EFFECT_LIMIT;
        while clock::now() < until {
            if let Some(status) = control::status(self.node, candidate).await
                && status.primary
            {
                return Ok(status.received.term);
            }
            tokio::time::sleep(POLL_PAUSE).await;
        }
        Err(ChangeError::NoEffect)
    }
}

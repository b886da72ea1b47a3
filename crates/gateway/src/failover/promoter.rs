//! Replaces the primary of a service.
//!
//! The primary record is first marked as changing, which stops hosts from using the primary. Once
//! every host has confirmed, or its view is too old to use a primary, a member is promoted and
//! recorded as the new primary.

use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::ids::Term;

use crate::clock;
use crate::failover::candidates;
use crate::failover::quiesce;
use crate::member::control;
use crate::model::command::Command;
use crate::model::kind::ObjectKind;
use crate::model::object::Content;
use crate::model::object::Object;
use crate::model::primary_record::PrimaryChange;
use crate::model::primary_record::PrimaryRecord;
use crate::model::store_revision;
use crate::node::Node;
use crate::platform::Platform;
use crate::platform::PromotionOrder;
use crate::platform::Store;
use crate::policy::promotion::Holding;
use crate::policy::promotion::OrderAnswer;
use crate::policy::promotion::Promotion;
use crate::policy::promotion::Step;
use crate::policy::successor;
use crate::policy::successor::PromotionRequirements;
use crate::policy::successor::Successor;
use crate::promote_error::PromoteError;
use crate::store_error::StoreError;

/// How long to wait for a member to receive the rest of the old primary's log, or for one that can
/// safely be promoted.
const CATCH_UP_LIMIT: Duration = Duration::from_millis(500);
/// Interval at which members are polled for their status.
const POLL_INTERVAL: Duration = Duration::from_millis(30);
/// Pause before a failed call is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How long to wait until an accepted promotion takes effect; promotions take some hundred ms.
const PROMOTION_EFFECT_LIMIT: Duration = Duration::from_secs(3);
/// A holder gives up a change after this time plus the maximum age of the primary record; meant to
/// be well before another host may take the change over.
const CHANGE_LIMIT: Duration = Duration::from_secs(6);

/// Replaces the primary, starting from the given record. With `takeover`, continues a change whose
/// holder may still be working on it.
pub async fn replace<P: Platform>(
    node: &Rc<Node<P>>,
    service: &str,
    record: PrimaryRecord,
    revision: Revision,
    takeover: bool,
) {
    let started = clock::now();
    let change = record.change.as_ref();
    let candidate = change.and_then(|c| c.candidate.clone());
    let forgotten = change.is_some_and(|c| c.forgotten);
    let mut replacement = Replacement {
        node,
        service,
        record,
        revision,
        forgotten,
        written: Duration::ZERO,
        deadline: started + CHANGE_LIMIT + node.settings.bounds.max_primary_record_age(),
    };
    let result = replacement.run(candidate, takeover).await;
    let took = clock::now().saturating_sub(started).as_millis() as u64;
    let primary = &replacement.record.primary;
    match result {
        Ok(()) => tracing::info!(event = 654, service, primary, took, "primary replaced"),
        Err(error) => tracing::warn!(event = 655, service, %error, took, "primary not replaced"),
    }
}

/// Longest time after which an order takes effect that a holder sends by a record which it wrote
/// before: the record may be used for its maximum age.
pub fn order_limit<P: Platform>(node: &Node<P>) -> Duration {
    node.settings.bounds.max_primary_record_age() + PROMOTION_EFFECT_LIMIT
}

/// Demotes the old primary to a replica, if it can be reached.
async fn demote<P: Platform>(node: Rc<Node<P>>, service: String, old: MemberId, term: Term) {
    let demoted = control::run_command(&node, &old, Command::Demote(term), control::STATUS_TIMEOUT);
    let reached = demoted.await.is_some();
    tracing::info!(
        event = 656,
        service,
        old,
        reached,
        "demotion of the old primary attempted"
    );
}

/// Why a change of primary failed.
#[derive(Debug, thiserror::Error)]
enum ReplacementError {
    #[error("{0}")]
    Store(#[from] StoreError),
    #[error("no member can be promoted")]
    NoCandidate,
    #[error("the promotion did not take effect in time")]
    NoEffect,
    #[error("another host may have taken the change over")]
    Superseded,
}

/// A change of primary that this host carries out.
struct Replacement<'a, P: Platform> {
    node: &'a Rc<Node<P>>,
    service: &'a str,
    record: PrimaryRecord,
    /// Revision of the record that this host wrote.
    revision: Revision,
    /// Whether a promotion may have been ordered that the record does not show.
    forgotten: bool,
    /// When the last successful write of the record was sent.
    written: Duration,
    deadline: Duration,
}

impl<P: Platform> Replacement<'_, P> {
    async fn run(
        &mut self,
        known: Option<MemberId>,
        takeover: bool,
    ) -> Result<(), ReplacementError> {
        let old = self.record.primary.clone();
        self.write_record(known.clone(), true).await?;
        let written = clock::now();
        let reports = quiesce::quiesce_hosts(self.node, self.service, self.revision, written).await;
        let since = self.node.known_hosts_since();
        let ended = self.node.floors.observed_since(self.service, since);
        let mut requirements = PromotionRequirements {
            old_primary: None,
            synchronous: self.node.is_synchronous(self.service),
            acknowledged: reports.acknowledged.max(ended),
            all_hosts_reported: reports.complete && ended.is_some(),
        };
        // The previous holder may still send a promotion order.
        let mut end = Duration::ZERO;
        if takeover {
            end = written + self.node.settings.bounds.max_primary_record_age();
        }
        if self.forgotten {
            end = end.max(self.node.era_settles_at());
        }
        tokio::time::sleep(end.saturating_sub(clock::now())).await;
        let (mut promotion, mut step) = Promotion::start(known, self.forgotten);
        let (candidate, term) = loop {
            step = match step {
                Step::Choose => {
                    promotion.on_choice(self.choose_candidate(&old, &mut requirements).await)
                }
                Step::Order(member) => {
                    self.write_record(Some(member.clone()), true).await?;
                    let answer = self.order(&member).await?;
                    promotion.on_answer(member, answer)
                }
                Step::Repeat(member) => {
                    tokio::time::sleep(RETRY_PAUSE).await;
                    let answer = self.order(&member).await?;
                    promotion.on_answer(member, answer)
                }
                Step::AwaitEffect(member) => match self.wait_for_promotion(&member).await {
                    Some(term) => break (member, term),
                    None => {
                        let (service, candidate) = (self.service, &member);
                        tracing::warn!(event = 663, service, candidate, "promotion not in effect");
                        promotion.on_no_effect(member)
                    }
                },
                Step::Restore => {
                    self.restore_primary(&old).await?;
                    return Err(ReplacementError::NoCandidate);
                }
                Step::Suspend => return Err(ReplacementError::NoCandidate),
            };
        };
        self.record.primary = candidate;
        self.record.term = term;
        self.write_record(None, false).await?;
        // No host uses the old primary any longer, so the demotion can run in the background.
        let demotion = demote(self.node.clone(), self.service.to_owned(), old, term);
        tokio::task::spawn_local(demotion);
        Ok(())
    }

    /// Writes the primary record. Retries until the store answers, the deadline has passed, or
    /// another writer has changed the record.
    async fn write_record(
        &mut self,
        candidate: Option<MemberId>,
        changing: bool,
    ) -> Result<(), ReplacementError> {
        let change = changing.then(|| PrimaryChange {
            holder: self.node.settings.host.clone(),
            incarnation: self.node.incarnation,
            candidate: candidate.clone(),
            forgotten: self.forgotten,
        });
        self.record.change = change;
        self.record.era = store_revision::era(self.revision);
        let content = Content::Primary(self.record.clone());
        loop {
            let sent = clock::now();
            let store = &self.node.store;
            let written = store
                .put(
                    ObjectKind::Primaries,
                    self.service,
                    Some(self.revision),
                    &content,
                )
                .await;
            let error = match written {
                Ok(object) => {
                    self.on_record_written(object, sent);
                    return Ok(());
                }
                // An earlier attempt of this write took effect although its answer was lost.
                Err(StoreError::Conflict(Some(object)))
                    if object.content.as_ref() == Some(&content) =>
                {
                    self.on_record_written(*object, sent);
                    return Ok(());
                }
                Err(StoreError::Conflict(object)) => {
                    return Err(StoreError::Conflict(object).into());
                }
                Err(error) => error,
            };
            if clock::now() >= self.deadline {
                return Err(error.into());
            }
            tracing::debug!(event = 657, service = self.service, %error, "record not written, retrying");
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn on_record_written(&mut self, object: Object, sent: Duration) {
        self.revision = object.revision;
        self.written = sent;
        let mut view = self.node.view.borrow_mut();
        view.on_written(ObjectKind::Primaries, object, clock::now());
        drop(view);
        self.node.on_view_changed();
    }

    async fn restore_primary(&mut self, old: &str) -> Result<(), ReplacementError> {
        self.record.primary = old.to_owned();
        self.write_record(None, false).await
    }

    /// Chooses the member that has received the most. Waits for the last writes of an old primary
    /// that still answers; where no commit may be lost, waits for a member that holds all of them.
    async fn choose_candidate(
        &self,
        old: &str,
        requirements: &mut PromotionRequirements,
    ) -> Option<MemberId> {
        let failing = self.node.pools.find(old).is_some_and(|p| p.is_failing());
        if !failing {
            let status = control::status(self.node, old).await;
            requirements.old_primary = status.map(|s| s.received);
        }
        let until = clock::now() + CATCH_UP_LIMIT;
        loop {
            let candidates = candidates::ask(
                self.node,
                self.service,
                &self.record,
                requirements.synchronous,
            )
            .await;
            let found = successor::choose(&candidates, requirements);
            let late = clock::now() >= until;
            let service = self.service;
            match found {
                Successor::Behind(_) | Successor::Unsafe if !late => {
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                Successor::Ready(member) | Successor::Behind(member) => {
                    tracing::info!(
                        event = 664,
                        service,
                        member,
                        ?requirements,
                        ?candidates,
                        "candidate chosen"
                    );
                    return Some(member);
                }
                Successor::Unsafe => {
                    tracing::warn!(
                        event = 662,
                        service,
                        ?requirements,
                        ?candidates,
                        "no member can be promoted"
                    );
                    return None;
                }
            }
        }
    }

    /// Orders the promotion of the recorded candidate.
    async fn order(&self, candidate: &str) -> Result<OrderAnswer, ReplacementError> {
        if clock::now() >= self.deadline {
            return Err(ReplacementError::NoEffect);
        }
        let max_age = self.node.settings.bounds.max_primary_record_age();
        let deadline = self.holding().order_deadline(clock::now(), max_age);
        let deadline = deadline.ok_or(ReplacementError::Superseded)?;
        let order = PromotionOrder {
            service: self.service.to_owned(),
            member: candidate.to_owned(),
            holder: self.node.settings.host.clone(),
            fencing_token: self.revision,
            deadline,
        };
        let Err(error) = self.node.store.promote(&order).await else {
            return Ok(OrderAnswer::Accepted);
        };
        let service = self.service;
        tracing::warn!(event = 659, service, candidate, %error, "promotion not accepted");
        Ok(match error {
            PromoteError::Conflict => OrderAnswer::NotRunning,
            PromoteError::Refused(_) => OrderAnswer::Refused,
            PromoteError::Unknown(_) => OrderAnswer::Unknown,
        })
    }

    /// What this host knows of the record that it wrote.
    fn holding(&self) -> Holding {
        let view = self.node.view.borrow();
        let kind = view.kind(ObjectKind::Primaries);
        let current_at = kind.and_then(|k| k.current_at);
        let newest = view
            .stored_primary(self.service)
            .map(|(_, revision)| revision);
        // In a later era of the store this host's record is gone, whatever its copy holds.
        let era = view.eras().seen().map_or(0, |(era, _)| era);
        let newest = newest.unwrap_or(self.revision);
        Holding {
            written: self.revision,
            newest: newest.max(store_revision::in_era(era, 0)),
            confirmed: current_at.unwrap_or_default().max(self.written),
        }
    }

    /// Waits until the candidate is the primary and returns its term, or `None` if it does not
    /// become the primary in time.
    async fn wait_for_promotion(&self, candidate: &str) -> Option<Term> {
        let until = clock::now() + PROMOTION_EFFECT_LIMIT;
        while clock::now() < until {
            if let Some(status) = control::status(self.node, candidate).await
                && status.primary
            {
                return Some(status.received.term);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        None
    }
}

//! Decides when loans are requested: by the broker of a limit from the hosts with unused floors,
//! and by borrowers from the broker. The broker of a limit is chosen by rendezvous hashing.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::amount::Amount;
use crate::coordinator::Coordinator;
use crate::coordinator::Outgoing;
use crate::ids::HostId;
use crate::limit::LimitId;
use crate::loan::LoanRequest;
use crate::message::Message;
use crate::rendezvous;
use crate::share::Share;
use crate::share::Unit;

/// Interval between the broker's requests to a host. Three fit into a holder's loan, because a loan
/// that has less than half of its time left cannot be lent on.
const BROKER_INTERVAL: Duration = Duration::from_millis(500);
/// How long the broker continues to request unused floors after the last request of a borrower.
const BROKER_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between requests to renew a loan.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);
/// A request without an answer is repeated after this time. Lenders answer at once and latency
/// between regions is 8 ms, so a message was lost. Waiting for the next renewal would be too late:
/// connections are closed `CLOSE_MARGIN` before the loan that covers them ends.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between requests while the demand changes.
const CHANGED_INTERVAL: Duration = Duration::from_millis(40);
/// Interval between requests while statements wait and the demand has not changed. The contract is
/// then probably exhausted, and requests at a higher frequency would only cost messages.
const WAITING_INTERVAL: Duration = Duration::from_millis(160);
/// A request is repeated early when the demand has changed by this factor.
const CHANGE_FACTOR: f64 = 1.3;

impl Coordinator {
    /// Adds the loan requests that are due to `out`.
    pub(crate) fn request_loans(&mut self, now: Duration, out: &mut Vec<Outgoing>) {
        let host = self.seat.host.clone();
        let peers: Vec<HostId> = self.seat.live_peers(now).cloned().collect();
        let mut borrow_requests: BTreeMap<HostId, Vec<(LimitId, LoanRequest)>> = BTreeMap::new();
        let mut broker_requests: BTreeMap<HostId, Vec<(LimitId, LoanRequest)>> = BTreeMap::new();
        for (limit, entry) in &mut self.limits {
            let share = &mut entry.share;
            // More than the total is never granted, and an uncapped demand would change all the
            // time, so that requests would be repeated early.
            let demand = share.shortfall(now).min(entry.total.rate);
            let brokering = entry
                .last_borrow_demand
                .is_some_and(|at| now < at + BROKER_IDLE_TIMEOUT);
            if demand <= 0.0 && !brokering && share.is_idle(now) {
                continue;
            }
            // A broker may be lost long before its lease ends. It does no harm if two hosts lend
            // parts of one limit, since each lends only what it holds.
            let responsive = peers.iter().filter(|p| !share.is_silent(p, now));
            let hosts = responsive.map(String::as_str).chain([host.as_str()]);
            let Some(owner) = rendezvous::owner(&limit.owner_key(), hosts).map(str::to_owned)
            else {
                continue;
            };
            if owner != host && !brokering {
                if borrow_due(share, &owner, demand, limit.unit(), now) {
                    self.next_id += 1;
                    let demand = Amount::new(demand, 0.0);
                    let request = share.request(&owner, self.next_id, demand, now);
                    borrow_requests
                        .entry(owner)
                        .or_default()
                        .push((limit.clone(), request));
                }
                continue;
            }
            // Otherwise a host that stood in for the owner would do so for as long as it has demand.
            if demand > 0.0 && owner == host {
                entry.last_borrow_demand = Some(now);
            }
            if entry
                .last_borrow_demand
                .is_none_or(|at| now >= at + BROKER_IDLE_TIMEOUT)
            {
                continue;
            }
            for peer in &peers {
                let due = share
                    .last_request(peer)
                    .is_none_or(|(at, _)| now >= at + BROKER_INTERVAL);
                if due {
                    self.next_id += 1;
                    let request = share.request(peer, self.next_id, Amount::ZERO, now);
                    broker_requests
                        .entry(peer.clone())
                        .or_default()
                        .push((limit.clone(), request));
                }
            }
        }
        out.extend(borrow_requests.into_iter().map(|(to, requests)| Outgoing {
            to,
            message: Message::LoanRequest(requests),
        }));
        out.extend(broker_requests.into_iter().map(|(to, requests)| Outgoing {
            to,
            message: Message::BrokerRequest(requests),
        }));
    }
}

/// Whether to send the broker a request now: after a short interval while statements wait, the
/// demand has changed or the last request has no answer, otherwise in time to renew the loan.
fn borrow_due(share: &Share, owner: &HostId, demand: f64, unit: Unit, now: Duration) -> bool {
    let held = share.loan_from(owner, now);
    let Some((at, last)) = share.last_request(owner) else {
        return demand > 0.0;
    };
    if demand <= 0.0 && held.is_zero() && last.rate <= 0.0 {
        return false;
    }
    let changed = match unit {
        Unit::Rate => demand > last.rate * CHANGE_FACTOR || demand * CHANGE_FACTOR < last.rate,
        Unit::Connections => (demand - last.rate).abs() >= 1.0,
    };
    let insufficient = demand > held.rate;
    let interval = if changed {
        CHANGED_INTERVAL
    } else if share.awaits_answer(owner) {
        REPEAT_INTERVAL
    } else if insufficient && share.demand.waiting() > 0 {
        WAITING_INTERVAL
    } else {
        RENEW_INTERVAL
    };
    now >= at + interval
}

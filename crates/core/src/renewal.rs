//! When hosts ask for loans: the pooling host for unused floors, and borrowers the pooling host.

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

/// Time between two requests for unused floors. Three fit into a loan, since a loan that has less
/// than half its time left cannot be lent on.
const POOL: Duration = Duration::from_millis(500);
/// How long the pooling host goes on asking for unused floors after the last borrower asked.
const POOL_IDLE: Duration = Duration::from_secs(2);

/// Time between two requests for the same loan. Two fit into a loan, so that one lost message
/// does not end it.
const RENEW: Duration = Duration::from_millis(400);
/// Time between two requests while the want changes.
const URGENT: Duration = Duration::from_millis(40);
/// Time between two requests while statements wait although the want is known: the contract is
/// probably used up, and asking more often would only cost messages.
const SHORT: Duration = Duration::from_millis(160);
/// A loan request is repeated early when the want has changed by this factor.
const CHANGED: f64 = 1.3;

impl Coordinator {
    /// Adds the loan requests that are due.
    pub(crate) fn loans(&mut self, now: Duration, out: &mut Vec<Outgoing>) {
        let host = self.seat.host.clone();
        let live: Vec<HostId> = self.seat.live(now).cloned().collect();
        let mut borrows: BTreeMap<HostId, Vec<(LimitId, LoanRequest)>> = BTreeMap::new();
        let mut pools: BTreeMap<HostId, Vec<(LimitId, LoanRequest)>> = BTreeMap::new();
        for (limit, entry) in &mut self.limits {
            let share = &mut entry.share;
            // More than the whole limit is never granted, and the number would change all the time.
            let want = share.want(now).min(entry.total.rate);
            let pooled = entry.wanted.is_some_and(|at| now < at + POOL_IDLE);
            if want <= 0.0 && !pooled && share.is_idle(now) {
                continue;
            }
            let hosts = live.iter().map(String::as_str).chain([host.as_str()]);
            let Some(owner) = rendezvous::owner(&limit.duty(), hosts).map(str::to_owned) else {
                continue;
            };
            if owner != host {
                if borrow_due(share, &owner, want, limit.unit(), now) {
                    self.next_id += 1;
                    let want = Amount::new(want, 0.0);
                    let request = share.request(&owner, self.next_id, want, now);
                    borrows
                        .entry(owner)
                        .or_default()
                        .push((limit.clone(), request));
                }
                continue;
            }
            if want > 0.0 {
                entry.wanted = Some(now);
            }
            if entry.wanted.is_none_or(|at| now >= at + POOL_IDLE) {
                continue;
            }
            for peer in &live {
                let due = share
                    .last_request(peer)
                    .is_none_or(|(at, _)| now >= at + POOL);
                if due {
                    self.next_id += 1;
                    let request = share.request(peer, self.next_id, Amount::ZERO, now);
                    pools
                        .entry(peer.clone())
                        .or_default()
                        .push((limit.clone(), request));
                }
            }
        }
        out.extend(borrows.into_iter().map(|(to, requests)| Outgoing {
            to,
            message: Message::LoanRequest(requests),
        }));
        out.extend(pools.into_iter().map(|(to, requests)| Outgoing {
            to,
            message: Message::LoanPool(requests),
        }));
    }
}

/// Whether to ask the pooling host now: soon while statements wait or the want has changed,
/// otherwise in time to renew what is held.
fn borrow_due(share: &Share, owner: &HostId, want: f64, unit: Unit, now: Duration) -> bool {
    let held = share.loan(owner, now);
    let Some((at, last)) = share.last_request(owner) else {
        return want > 0.0;
    };
    if want <= 0.0 && held.is_zero() && last.rate <= 0.0 {
        return false;
    }
    let changed = match unit {
        Unit::Rate => want > last.rate * CHANGED || want * CHANGED < last.rate,
        Unit::Whole => (want - last.rate).abs() >= 1.0,
    };
    let short = want > held.rate;
    let pause = if changed {
        URGENT
    } else if short && share.demand.waiting() > 0 {
        SHORT
    } else {
        RENEW
    };
    now >= at + pause
}

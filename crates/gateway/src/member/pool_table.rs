//! The pools of all members.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use magnoliahatch_core::ids::MemberId;

use crate::member::member_pace::MemberPace;
use crate::member::pool::Endpoint;
use crate::member::pool::Pool;
use crate::metrics::Metrics;
use crate::platform::Platform;

/// Pools by member, each with the start time of the member's process.
type Pools<P> = BTreeMap<MemberId, (u64, Rc<Pool<P>>)>;

/// Removed members whose answer times are remembered, so that a member which restarts is known also
/// if its registration was removed meanwhile. Far above the members of any deployment (60).
const MAX_REMOVED: usize = 256;

/// Pools by member. A pool is created on first use.
pub struct PoolTable<P: Platform> {
    pools: RefCell<Pools<P>>,
    /// Members without a pool: the start time of the process and what its answers were like.
    removed: RefCell<BTreeMap<MemberId, (u64, Rc<MemberPace>)>>,
    metrics: Rc<Metrics>,
}

impl<P: Platform> PoolTable<P> {
    pub fn new(metrics: Rc<Metrics>) -> Self {
        Self {
            pools: RefCell::default(),
            removed: RefCell::default(),
            metrics,
        }
    }

    /// Returns the pool of a member. A member that restarted since, or changed its address or
    /// slots, gets a new pool.
    pub fn get(&self, endpoint: &Endpoint, started: u64) -> Rc<Pool<P>> {
        let mut pools = self.pools.borrow_mut();
        if let Some((known, pool)) = pools.get(&endpoint.member) {
            if *known == started && pool.endpoint == *endpoint {
                return pool.clone();
            }
            pool.close_connections();
        }
        let removed = self.removed.borrow_mut().remove(&endpoint.member);
        let replaced = pools.get(&endpoint.member);
        let previous = replaced.map(|(known, pool)| (*known, pool.pace.clone()));
        let previous = previous.or(removed);
        let pace = match previous {
            Some((known, pace)) if known != started => pace.restarted(endpoint.slots),
            Some((_, pace)) if pace.slots() == endpoint.slots => pace,
            _ => MemberPace::new(
                endpoint.member.clone(),
                endpoint.slots,
                self.metrics.clone(),
            ),
        };
        pace.record_window();
        let pool = Pool::new(endpoint.clone(), pace);
        pools.insert(endpoint.member.clone(), (started, pool.clone()));
        pool
    }

    /// Returns the pool of a member if one exists.
    pub fn find(&self, member: &str) -> Option<Rc<Pool<P>>> {
        let pools = self.pools.borrow();
        pools.get(member).map(|(_, pool)| pool.clone())
    }

    /// Members that have a pool.
    pub fn members(&self) -> Vec<MemberId> {
        self.pools.borrow().keys().cloned().collect()
    }

    /// Removes the pools of the members for which `keep` is false and closes their idle
    /// connections.
    pub fn retain(&self, keep: impl Fn(&MemberId) -> bool) {
        let mut removed = self.removed.borrow_mut();
        self.pools.borrow_mut().retain(|member, (started, pool)| {
            let kept = keep(member);
            if !kept {
                pool.close_connections();
                self.metrics.remove_window(member);
                removed.insert(member.clone(), (*started, pool.pace.clone()));
            }
            kept
        });
        while removed.len() > MAX_REMOVED {
            removed.pop_first();
        }
    }
}

//! The pools of all members.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use magnoliahatch_core::ids::MemberId;

use crate::member::pool::Endpoint;
use crate::member::pool::Pool;
use crate::platform::Platform;

/// Pools by member, each with the start time of the member's process.
type Pools<P> = BTreeMap<MemberId, (u64, Rc<Pool<P>>)>;

/// Pools by member. A pool is created on first use.
pub struct PoolTable<P: Platform> {
    pools: RefCell<Pools<P>>,
}

impl<P: Platform> Default for PoolTable<P> {
    fn default() -> Self {
        Self {
            pools: RefCell::default(),
        }
    }
}

impl<P: Platform> PoolTable<P> {
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
        let pool = Pool::new(endpoint.clone());
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
        self.pools.borrow_mut().retain(|member, (_, pool)| {
            let kept = keep(member);
            if !kept {
                pool.close_connections();
            }
            kept
        });
    }
}

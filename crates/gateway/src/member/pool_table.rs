//! The pools of all members.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use magnoliahatch_core::ids::MemberId;

use crate::member::pool::Endpoint;
use crate::member::pool::Pool;
use crate::platform::Platform;

/// Pools with the start time of their member.
type Pools<P> = BTreeMap<MemberId, (u64, Rc<Pool<P>>)>;

/// Pools by member; one is made when it is first needed.
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
    /// Pool of a member that started at `born`; a member that started again gets a new one.
    pub fn get(&self, endpoint: &Endpoint, born: u64) -> Rc<Pool<P>> {
        let mut pools = self.pools.borrow_mut();
        if let Some((known, pool)) = pools.get(&endpoint.member) {
            if *known == born && pool.endpoint == *endpoint {
                return pool.clone();
            }
            pool.retire();
        }
        let pool = Pool::new(endpoint.clone());
        pools.insert(endpoint.member.clone(), (born, pool.clone()));
        pool
    }

    /// Pool of a member, if there is one.
    pub fn find(&self, member: &str) -> Option<Rc<Pool<P>>> {
        let pools = self.pools.borrow();
        pools.get(member).map(|(_, pool)| pool.clone())
    }

    /// Members with a pool.
    pub fn members(&self) -> Vec<MemberId> {
        self.pools.borrow().keys().cloned().collect()
    }

    /// Forgets the members for which `keep` is false; their idle connections are closed.
    pub fn retain(&self, keep: impl Fn(&MemberId) -> bool) {
        self.pools.borrow_mut().retain(|member, (_, pool)| {
            let kept = keep(member);
            if !kept {
                pool.retire();
            }
            kept
        });
    }
}

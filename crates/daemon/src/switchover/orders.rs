//! Switchovers that this daemon is executing.

use std::collections::BTreeMap;
use std::sync::Arc;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::Term;
use tokio::sync::Notify;
use tokio::sync::watch;

/// Switchovers that this daemon is executing, with the terms of the primaries to be replaced.
#[derive(Debug, Clone, Default)]
pub struct SwitchoverOrders {
    current: Arc<watch::Sender<BTreeMap<DatabaseId, Term>>>,
    announce: Arc<Notify>,
}

impl SwitchoverOrders {
    /// Adds an order, which is withdrawn when the returned guard is dropped.
    pub(crate) fn add(&self, database: DatabaseId, term: Term) -> OrderGuard {
        self.current.send_modify(|orders| {
            orders.insert(database.clone(), term);
        });
        self.announce_now();
        OrderGuard {
            orders: self.clone(),
            database,
            term,
        }
    }

    pub(crate) fn all(&self) -> BTreeMap<DatabaseId, Term> {
        self.current.borrow().clone()
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<BTreeMap<DatabaseId, Term>> {
        self.current.subscribe()
    }

    /// Requests that the announcement of this host is updated immediately.
    pub(crate) fn announce_now(&self) {
        self.announce.notify_one();
    }

    /// Completes when the announcement must be updated. Only one task may wait.
    pub(crate) async fn announcement_due(&self) {
        self.announce.notified().await;
    }
}

/// Guard of an order, which is withdrawn when the guard is dropped.
#[derive(Debug)]
pub(crate) struct OrderGuard {
    orders: SwitchoverOrders,
    database: DatabaseId,
    term: Term,
}

impl Drop for OrderGuard {
    fn drop(&mut self) {
        self.orders.current.send_if_modified(|orders| {
            // A later switchover of the same database may have replaced this order.
            let own = orders.get(&self.database) == Some(&self.term);
            if own {
                orders.remove(&self.database);
            }
            own
        });
        self.orders.announce_now();
    }
}

//! Planned changes of primary that this daemon has ordered.

use std::collections::BTreeMap;
use std::sync::Arc;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::Term;
use tokio::sync::Notify;
use tokio::sync::watch;

/// Planned changes of primary that this daemon has ordered: the terms of the old primaries.
#[derive(Debug, Clone, Default)]
pub struct Orders {
    current: Arc<watch::Sender<BTreeMap<DatabaseId, Term>>>,
    announce: Arc<Notify>,
}

impl Orders {
    /// Adds an order; it is withdrawn when the returned value is dropped.
    pub(crate) fn add(&self, database: DatabaseId, term: Term) -> Ordered {
        self.current.send_modify(|orders| {
            orders.insert(database.clone(), term);
        });
        self.nudge();
        Ordered {
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

    /// Has this host's announcement composed at once.
    pub(crate) fn nudge(&self) {
        self.announce.notify_one();
    }

    /// Completes when the announcement is to be composed; for one task.
    pub(crate) async fn changed(&self) {
        self.announce.notified().await;
    }
}

/// An order in force.
#[derive(Debug)]
pub(crate) struct Ordered {
    orders: Orders,
    database: DatabaseId,
    term: Term,
}

impl Drop for Ordered {
    fn drop(&mut self) {
        self.orders.current.send_if_modified(|orders| {
            // A later change of the same database has replaced this order.
            let own = orders.get(&self.database) == Some(&self.term);
            if own {
                orders.remove(&self.database);
            }
            own
        });
        self.orders.nudge();
    }
}

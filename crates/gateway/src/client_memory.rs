//! The memory that this host holds for clients.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::watch;

use crate::clock;
use crate::held_bytes::HeldBytes;
use crate::held_bytes::HolderState;
use crate::model::client_refusal::ClientRefusal;
use crate::policy::client_budget::BudgetStep;
use crate::policy::client_budget::ClientBudget;
use crate::policy::client_budget::HolderId;

/// The budget of the process, and how its decisions reach the holders.
#[derive(Debug)]
pub struct ClientMemory {
    budget: RefCell<ClientBudget>,
    holders: RefCell<BTreeMap<HolderId, watch::Sender<HolderState>>>,
}

impl ClientMemory {
    pub fn new(limit: u64) -> Rc<Self> {
        Rc::new(Self {
            budget: RefCell::new(ClientBudget::new(limit)),
            holders: RefCell::default(),
        })
    }

    /// Adds a holder that counts all bytes above `allowance`.
    pub fn open(self: &Rc<Self>, allowance: u64) -> HeldBytes {
        let id = self.budget.borrow_mut().open(clock::now());
        let (sender, state) = watch::channel(HolderState::Idle);
        self.holders.borrow_mut().insert(id, sender);
        HeldBytes::new(self.clone(), id, state, allowance)
    }

    /// Bytes held now.
    pub fn used(&self) -> u64 {
        self.budget.borrow().used()
    }

    /// Tells a holder to give up all its bytes and to end.
    pub fn close(&self, id: HolderId, cause: ClientRefusal) {
        if let Some(sender) = self.holders.borrow().get(&id) {
            sender.send_replace(HolderState::Closed(cause));
        }
    }

    /// Changes the budget and carries out what follows.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut ClientBudget) -> T) -> T {
        let (result, steps) = {
            let mut budget = self.budget.borrow_mut();
            let result = change(&mut budget);
            let steps = if budget.is_short() {
                budget.advance(clock::now())
            } else {
                Vec::new()
            };
            (result, steps)
        };
        for step in steps {
            match step {
                BudgetStep::Grant(id) => self.on_granted(id),
                BudgetStep::Close(id) => self.close(id, ClientRefusal::Memory),
            }
        }
        result
    }

    /// Removes a holder.
    pub(crate) fn remove(&self, id: HolderId) {
        self.holders.borrow_mut().remove(&id);
        self.update(|budget| budget.remove(id));
    }

    pub(crate) fn on_granted(&self, id: HolderId) {
        if let Some(sender) = self.holders.borrow().get(&id) {
            sender.send_if_modified(|state| {
                let waits = *state == HolderState::Waiting;
                if waits {
                    *state = HolderState::Idle;
                }
                waits
            });
        }
    }

    /// Marks a holder as waiting, unless it was told to close.
    pub(crate) fn on_waiting(&self, id: HolderId) {
        if let Some(sender) = self.holders.borrow().get(&id) {
            sender.send_if_modified(|state| {
                if *state == HolderState::Idle {
                    *state = HolderState::Waiting;
                }
                false
            });
        }
    }
}

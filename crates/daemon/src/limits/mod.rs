//! Admission of statements and use of endpoint connections within the contracts.

use std::sync::Arc;
use std::time::Instant;

use thiserror::Error;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::sync::watch;

/// Connections of this host to one member until shares are merged.
const ALLOWANCE: u32 = 8;

/// Why a statement was not admitted.
#[derive(Debug, Error)]
pub enum LimitError {
    #[error("no connection to the database became free in time")]
    Timeout,
}

/// Permission to use one pooled connection.
#[derive(Debug)]
pub struct ConnectionPermit {
    _permit: OwnedSemaphorePermit,
}

/// Admits every statement and bounds connections per member by a constant.
#[derive(Debug)]
pub struct Limits {
    members: std::sync::Mutex<std::collections::BTreeMap<(String, String), Arc<Semaphore>>>,
    allowance: watch::Sender<u32>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            members: Default::default(),
            allowance: watch::Sender::new(ALLOWANCE),
        }
    }
}

impl Limits {
    /// Waits until the organisation may run one more statement.
    pub async fn admit(&self, _organisation: &str, _deadline: Instant) -> Result<(), LimitError> {
        Ok(())
    }

    /// Waits for the use of a connection to a member.
    pub async fn connection(
        &self,
        database: &str,
        member: &str,
        _organisation: &str,
        deadline: Instant,
    ) -> Result<ConnectionPermit, LimitError> {
        let slots = {
            let mut members = self.members.lock().expect("no holder of this lock panics");
            let key = (database.to_owned(), member.to_owned());
            let slots = members
                .entry(key)
                .or_insert_with(|| Arc::new(Semaphore::new(ALLOWANCE as usize)));
            Arc::clone(slots)
        };
        match tokio::time::timeout_at(deadline.into(), slots.acquire_owned()).await {
            Ok(Ok(permit)) => Ok(ConnectionPermit { _permit: permit }),
            _ => Err(LimitError::Timeout),
        }
    }

    /// Connections that this host may have open to a member.
    pub fn allowance(&self, _database: &str, _member: &str) -> watch::Receiver<u32> {
        self.allowance.subscribe()
    }
}

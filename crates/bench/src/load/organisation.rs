//! Contract and offered load of one organisation.

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::OrganisationId;
use serde::Deserialize;
use serde::Serialize;

/// Contract and load of one organisation.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationPlan {
    pub name: OrganisationId,
    /// Databases over which its sessions are spread; all of them if empty.
    #[serde(default)]
    pub databases: Vec<DatabaseId>,
    /// Hosts that its sessions use; all of them if empty.
    #[serde(default)]
    pub hosts: Vec<HostId>,
    /// Statements per second that the contract allows.
    pub rate: f64,
    pub burst: f64,
    #[serde(default = "default_age")]
    pub max_age_ms: u64,
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Number of sessions that send its operations; an operation queues while all are busy.
    pub sessions: u32,
    /// Longest time that an operation queues for a free session before its caller abandons it.
    #[serde(default = "default_patience")]
    pub patience_ms: u64,
    /// Fraction of the operations that are writes.
    #[serde(default = "default_writes")]
    pub writes: f64,
    /// Fraction of the writes that are transactions of two rows.
    #[serde(default)]
    pub transactions: f64,
    /// Probability that a session reconnects to another host before an operation.
    #[serde(default)]
    pub roam: f64,
    /// Offered load as multiples of the rate; each step lasts until the next one starts.
    #[serde(default = "default_offered")]
    pub offered: Vec<LoadStep>,
    #[serde(default)]
    pub retry: Retry,
}

/// Offered load from a given time until the next step.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadStep {
    pub from_ms: u64,
    /// Multiple of the contract's rate, in statements.
    pub multiple: f64,
    /// Statements that arrive at once at that time.
    #[serde(default)]
    pub burst: u32,
}

/// Retry policy of the organisation's callers.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Retries after the first attempt. Operations that certainly did not run and reads of
    /// unknown outcome are retried; writes of unknown outcome only with `request_id`.
    #[serde(default)]
    pub attempts: u32,
    #[serde(default)]
    pub wait_ms: u64,
    /// Sends a request id with each single-row write, which makes it idempotent.
    #[serde(default)]
    pub request_id: bool,
}

impl OrganisationPlan {
    /// Mean number of statements per operation.
    pub fn mean_statements(&self) -> f64 {
        let transactions = self.writes * self.transactions;
        let plain = 1.0 - transactions;
        plain + transactions * f64::from(TRANSACTION_STATEMENTS)
    }
}

/// Statements of a transaction: BEGIN, two inserts and COMMIT.
pub const TRANSACTION_STATEMENTS: u32 = 4;

fn default_age() -> u64 {
    1000
}

fn default_weight() -> u32 {
    1
}

fn default_patience() -> u64 {
    2000
}

fn default_writes() -> f64 {
    0.2
}

fn default_offered() -> Vec<LoadStep> {
    vec![LoadStep {
        from_ms: 0,
        multiple: 0.5,
        burst: 0,
    }]
}

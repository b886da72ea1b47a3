//! Load of one organisation.

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::OrganisationId;
use serde::Deserialize;
use serde::Serialize;

/// Contract and load of one organisation.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationPlan {
    pub name: OrganisationId,
    /// Databases that its sessions use in turn; all of them if empty.
    #[serde(default)]
    pub databases: Vec<DatabaseId>,
    /// Statements per second of the contract.
    pub rate: f64,
    pub burst: f64,
    #[serde(default = "default_age")]
    pub max_age_ms: u64,
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Sessions that send its operations; an operation waits while all are busy.
    pub sessions: u32,
    /// Longest time that an operation waits for a free session before its caller gives up.
    #[serde(default = "default_patience")]
    pub patience_ms: u64,
    /// Share of writes among the operations.
    #[serde(default = "default_writes")]
    pub writes: f64,
    /// Share of the writes that are transactions of two rows.
    #[serde(default)]
    pub transactions: f64,
    /// Probability that a session moves to another host before an operation.
    #[serde(default)]
    pub roam: f64,
    /// Offered load as multiples of the rate; each applies until the next one.
    #[serde(default = "default_offered")]
    pub offered: Vec<Offer>,
    #[serde(default)]
    pub retry: Retry,
}

/// Offered load from a given time.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Offer {
    pub from_ms: u64,
    /// Multiple of the contract's rate, in statements.
    pub multiple: f64,
    /// Statements that arrive at once at that time.
    #[serde(default)]
    pub burst: u32,
}

/// What the organisation's callers do after a failure.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Attempts after the first one. Only operations that certainly did not run are repeated,
    /// and with `request_id` also writes of unknown outcome.
    #[serde(default)]
    pub attempts: u32,
    #[serde(default)]
    pub wait_ms: u64,
    /// Gives a request id with each write.
    #[serde(default)]
    pub request_id: bool,
}

impl OrganisationPlan {
    /// Average number of statements of an operation.
    pub fn statements(&self) -> f64 {
        let transactions = self.writes * self.transactions;
        let plain = 1.0 - transactions;
        plain + transactions * f64::from(TRANSACTION_STATEMENTS)
    }
}

/// BEGIN, two inserts and COMMIT.
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

fn default_offered() -> Vec<Offer> {
    vec![Offer {
        from_ms: 0,
        multiple: 0.5,
        burst: 0,
    }]
}

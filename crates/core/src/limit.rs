//! Limits that are shared by all hosts.

use serde::Deserialize;
use serde::Serialize;

use crate::amount::Amount;
use crate::ids::DatabaseId;
use crate::ids::MemberId;
use crate::ids::OrganisationId;
use crate::share::Unit;

/// Identifier of a limit.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum LimitId {
    /// Rate and burst of an organisation.
    Rate(OrganisationId),
    /// Connections to one member of a database group.
    Connections(DatabaseId, MemberId),
}

impl LimitId {
    pub fn unit(&self) -> Unit {
        match self {
            Self::Rate(_) => Unit::Rate,
            Self::Connections(..) => Unit::Connections,
        }
    }

    /// Key by which rendezvous hashing chooses the broker of this limit.
    pub fn owner_key(&self) -> String {
        match self {
            Self::Rate(organisation) => format!("rate/{organisation}"),
            Self::Connections(database, member) => format!("connections/{database}/{member}"),
        }
    }

    /// Floor of the seat with this rank among `count` seats. Connections that cannot be divided
    /// evenly go to the lowest ranks, and only once all holders have confirmed the seats
    /// (`agreed`).
    pub fn floor(&self, total: Amount, rank: usize, count: usize, agreed: bool) -> Amount {
        let count = count.max(1) as f64;
        match self.unit() {
            Unit::Rate => total.scaled(1.0 / count),
            Unit::Connections => {
                let each = (total.rate / count).floor();
                let rest = total.rate - each * count;
                let extra = agreed && (rank as f64) < rest;
                Amount::new(each + f64::from(u8::from(extra)), 0.0)
            }
        }
    }
}

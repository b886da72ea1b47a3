//! Why a statement was refused before anything was sent.

use std::time::Duration;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::OrganisationId;
use thiserror::Error;

/// Refusal by a limit. In every case nothing was sent to a member: the outcome is "not run".
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum LimitError {
    #[error("organisation {0} has no contract; the statement was not run")]
    NoContract(OrganisationId),
    #[error(
        "organisation {organisation} is above its rate; the statement was not run, \
         repeat it after {retry:?}"
    )]
    Rate {
        organisation: OrganisationId,
        retry: Duration,
    },
    #[error("database {0} has no member {1}; the statement was not run")]
    NoMember(DatabaseId, MemberId),
    #[error(
        "all connections to member {member} of {database} are in use and the expected wait is \
         {wait:?}; the statement was not run"
    )]
    Queue {
        database: DatabaseId,
        member: MemberId,
        wait: Duration,
    },
    #[error(
        "this host has reached neither the store nor a majority of its peers for some seconds; \
         the statement was not run, connect to another host"
    )]
    OutOfTouch,
    #[error("this host is stopping; the statement was not run, connect to another host")]
    Stopping,
}

impl LimitError {
    /// Nothing was sent to a member.
    pub fn outcome(&self) -> &'static str {
        "not_run"
    }
}

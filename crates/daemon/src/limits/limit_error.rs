//! Errors for statements that a limit refuses.

use std::time::Duration;

use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::OrganisationId;
use thiserror::Error;

/// Reason why a limit refused a statement. Nothing was sent to a member in any of these cases, so
/// the outcome is always "not run".
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
    Disconnected,
    #[error("this host is stopping; the statement was not run, connect to another host")]
    Stopping,
}

impl LimitError {
    /// Outcome that is reported for the refused statement.
    pub fn outcome(&self) -> &'static str {
        "not_run"
    }
}

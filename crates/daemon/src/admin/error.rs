//! Errors of the administration API.

use magnoliahatch_client::admin::problem::ProblemCode;
use magnoliahatch_client::store_error::StoreError;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::KeyId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::ids::RouteId;
use thiserror::Error;

use crate::admin::hooks::SwitchoverError;

/// Why an administration call failed, with a hint on what to change.
#[derive(Debug, Error)]
pub enum AdminError {
    #[error(transparent)]
    Rule(#[from] RuleError),
    #[error(
        "name {name:?} is not valid: use 1 to {max} letters, digits, '.', '_' or '-', the first \
         a letter or digit"
    )]
    Name { name: String, max: usize },
    #[error("{kind} {name:?} does not exist; check the name with `show`")]
    NotFound { kind: String, name: String },
    #[error(
        "{kind} {name:?} already exists at version {current}; change it, or choose another name"
    )]
    Exists {
        kind: &'static str,
        name: String,
        current: Revision,
    },
    #[error("organisation {organisation:?} has no key {id:?}; `contract show` lists its keys")]
    UnknownKey {
        organisation: OrganisationId,
        id: KeyId,
    },
    #[error("no {subject} {name:?} is known; check the name, or announce it first")]
    UnknownSubject { subject: &'static str, name: String },
    #[error("database {database:?} has no member {member:?}; its members are {known}")]
    UnknownMember {
        database: DatabaseId,
        member: MemberId,
        known: String,
    },
    #[error(transparent)]
    Store(#[from] StoreError),
    #[error(
        "the store did not confirm the change, which may have taken effect; check with `show` \
         before repeating it: {0}"
    )]
    Unconfirmed(#[source] StoreError),
    #[error(
        "the deletion took effect, but its version is unknown because the store became \
         unavailable; do not repeat it: {0}"
    )]
    DeletionVersion(#[source] StoreError),
    #[error("the deletion took effect, but the store does not report it; do not repeat it")]
    DeletionMissing,
    #[error("a concurrent change conflicts with this one, which has been undone: {rule}")]
    Undone { rule: RuleError },
    #[error(
        "a concurrent change conflicts with this one, and undoing this one failed ({undo}); it is \
         still in force: {rule}"
    )]
    NotUndone {
        rule: RuleError,
        undo: Box<StoreError>,
    },
    #[error("the switchover of {database:?} did not complete: {source}")]
    Switchover {
        database: DatabaseId,
        source: SwitchoverError,
    },
}

/// A violated rule of the configuration.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum RuleError {
    #[error("field `{field}` of {kind} {name:?} is {found}; {allowed}")]
    Field {
        kind: &'static str,
        name: String,
        field: &'static str,
        found: String,
        allowed: &'static str,
    },
    #[error(
        "the contracts' rates add up to {total} statements/s, but the databases serve at most \
         {capacity}; lower a rate, or add databases or members"
    )]
    RatesExceedCapacity { total: f64, capacity: f64 },
    #[error(
        "route {route:?} is open to all but names no organisation; name the one that it runs under"
    )]
    OpenWithoutOrganisation { route: RouteId },
    #[error(
        "route {route:?} runs under organisation {organisation:?}, which has no contract; create \
         the contract first, or change the route"
    )]
    UnknownOrganisation {
        route: RouteId,
        organisation: OrganisationId,
    },
    #[error(
        "route {route:?} leads to database {database:?}, which does not exist; create the database \
         first, or change the route"
    )]
    UnknownDatabase {
        route: RouteId,
        database: DatabaseId,
    },
    #[error(
        "{what} of member {member:?} in database {database:?} is also used in database {other:?}; give it its own"
    )]
    DuplicateMember {
        what: &'static str,
        member: MemberId,
        database: DatabaseId,
        other: DatabaseId,
    },
    #[error("no member of database {database:?} would be in service; take another one in first")]
    NoMemberLeft { database: DatabaseId },
    #[error("no host would be in service; take another one in first")]
    NoHostLeft,
}

impl AdminError {
    /// Converts the error of a write, which may have taken effect if the store did not answer.
    pub(super) fn from_write_error(error: StoreError) -> Self {
        match error {
            StoreError::Unavailable(_) => Self::Unconfirmed(error),
            error => Self::Store(error),
        }
    }

    /// Machine-readable error code.
    pub fn code(&self) -> ProblemCode {
        match self {
            Self::Rule(rule) => rule.code(),
            Self::Name { .. } => ProblemCode::InvalidName,
            Self::NotFound { .. } | Self::UnknownKey { .. } => ProblemCode::NotFound,
            Self::UnknownSubject { .. } => ProblemCode::UnknownSubject,
            Self::UnknownMember { .. } => ProblemCode::UnknownMember,
            Self::Store(StoreError::Conflict { .. })
            | Self::Exists { .. }
            | Self::Undone { .. } => ProblemCode::Conflict,
            Self::Store(StoreError::NotFound { .. }) => ProblemCode::NotFound,
            Self::Store(StoreError::Format(_)) => ProblemCode::Unreadable,
            Self::Store(StoreError::Status(_)) | Self::DeletionMissing => ProblemCode::Internal,
            Self::Store(StoreError::Unavailable(_))
            | Self::Unconfirmed(_)
            | Self::DeletionVersion(_)
            | Self::NotUndone { .. } => ProblemCode::StoreUnavailable,
            Self::Switchover { .. } => ProblemCode::SwitchoverFailed,
        }
    }
}

impl RuleError {
    fn code(&self) -> ProblemCode {
        match self {
            Self::Field { .. } => ProblemCode::InvalidField,
            Self::RatesExceedCapacity { .. } => ProblemCode::ContractNotMet,
            Self::OpenWithoutOrganisation { .. } => ProblemCode::OpenWithoutOrganisation,
            Self::UnknownOrganisation { .. } => ProblemCode::UnknownOrganisation,
            Self::UnknownDatabase { .. } => ProblemCode::UnknownDatabase,
            Self::DuplicateMember { .. } => ProblemCode::DuplicateMember,
            Self::NoMemberLeft { .. } | Self::NoHostLeft => ProblemCode::NothingLeft,
        }
    }
}

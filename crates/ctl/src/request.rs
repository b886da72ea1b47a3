//! Typed representation of commands.

use std::path::PathBuf;

use magnoliahatch_client::admin::subject::Subject;
use magnoliahatch_client::objects::access::Access;
use magnoliahatch_client::objects::member::Member;
use magnoliahatch_client::objects::placement::Placement;
use magnoliahatch_core::ids::DatabaseId;
use magnoliahatch_core::ids::KeyId;
use magnoliahatch_core::ids::MemberId;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::ids::Revision;

/// A command with its arguments.
#[derive(Debug)]
pub enum Request {
    Contract(Action<ContractFields>),
    Route(Action<RouteFields>),
    Database(Action<DatabaseFields>),
    CreateKey {
        organisation: OrganisationId,
    },
    ShowKeys {
        organisation: OrganisationId,
    },
    WithdrawKey {
        organisation: OrganisationId,
        id: KeyId,
    },
    SetPlacement {
        subject: Subject,
        name: String,
        state: Placement,
        version: Option<Revision>,
    },
    ShowPlacements {
        subject: Subject,
    },
    Switchover {
        database: DatabaseId,
        member: Option<MemberId>,
    },
    CreateSecret,
    Status,
    /// Shows the log lines of one request; reads files only and calls no daemon.
    Explain {
        id: String,
        files: Vec<PathBuf>,
    },
}

/// Action on an object that has fields.
#[derive(Debug)]
pub enum Action<F> {
    Create {
        name: String,
        fields: F,
    },
    /// Fields that are not given keep their value. Without `version`, the current version is
    /// replaced.
    Change {
        name: String,
        fields: F,
        version: Option<Revision>,
    },
    /// Shows the named object, or all objects.
    Show {
        name: Option<String>,
    },
    Withdraw {
        name: String,
        version: Option<Revision>,
    },
}

/// Fields of a contract given on the command line.
#[derive(Debug, Default)]
pub struct ContractFields {
    pub rate: Option<f64>,
    pub burst: Option<f64>,
    pub max_age_ms: Option<u64>,
    pub weight: Option<u32>,
    pub idle_in_transaction_ms: Option<u64>,
}

/// Fields of a route given on the command line.
#[derive(Debug, Default)]
pub struct RouteFields {
    pub database: Option<DatabaseId>,
    pub access: Option<Access>,
    pub organisation: Option<OrganisationId>,
}

/// Fields of a database given on the command line.
#[derive(Debug, Default)]
pub struct DatabaseFields {
    /// Empty if not given.
    pub members: Vec<Member>,
    pub connections: Option<u32>,
    pub slots: Option<u32>,
    pub member_rate: Option<f64>,
}

//! Parsed commands.

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

/// One parsed command.
#[derive(Debug)]
pub enum Request {
    Contract(Verb<ContractFields>),
    Route(Verb<RouteFields>),
    Database(Verb<DatabaseFields>),
    KeyCreate {
        organisation: OrganisationId,
    },
    KeyShow {
        organisation: OrganisationId,
    },
    KeyWithdraw {
        organisation: OrganisationId,
        id: KeyId,
    },
    Place {
        subject: Subject,
        name: String,
        state: Placement,
        version: Option<Revision>,
    },
    PlacementShow {
        subject: Subject,
    },
    Switchover {
        database: DatabaseId,
        member: Option<MemberId>,
    },
    SecretCreate,
    Status,
    /// Show the log lines of one request; needs no daemon.
    Explain {
        id: String,
        files: Vec<PathBuf>,
    },
}

/// What to do with an object that has fields.
#[derive(Debug)]
pub enum Verb<F> {
    Create {
        name: String,
        fields: F,
    },
    /// Fields that are not given keep their value. Without a version, the current one is replaced.
    Change {
        name: String,
        fields: F,
        version: Option<Revision>,
    },
    /// Without a name, all objects.
    Show {
        name: Option<String>,
    },
    Withdraw {
        name: String,
        version: Option<Revision>,
    },
}

/// Fields of a contract, as given.
#[derive(Debug, Default)]
pub struct ContractFields {
    pub rate: Option<f64>,
    pub burst: Option<f64>,
    pub max_age: Option<u64>,
    pub weight: Option<u32>,
    pub idle: Option<u64>,
}

/// Fields of a route, as given.
#[derive(Debug, Default)]
pub struct RouteFields {
    pub database: Option<DatabaseId>,
    pub access: Option<Access>,
    pub organisation: Option<OrganisationId>,
}

/// Fields of a database, as given.
#[derive(Debug, Default)]
pub struct DatabaseFields {
    /// Empty when not given.
    pub members: Vec<Member>,
    pub connections: Option<u32>,
    pub slots: Option<u32>,
    pub member_rate: Option<f64>,
}

//! The messages that hosts exchange.

use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::position::LogPosition;
use serde::Deserialize;
use serde::Serialize;

use crate::model::handover::Handover;
use crate::model::host_knowledge::HostKnowledge;
use crate::model::job::Job;
use crate::model::job::Target;
use crate::model::kind::ObjectKind;
use crate::model::member_load::MemberLoad;
use crate::model::object::Object;
use crate::model::outcome::Outcome;
use crate::model::store_revision::Era;
use crate::model::token_request::TokenRequest;
use crate::model::usage_message::UsageMessage;

/// Identifies a call on its connection.
pub type CallId = u64;
/// Identifies a channel on its connection.
pub type ChannelId = u64;

/// Version of these messages. Connections of hosts with another version are refused.
pub const PROTOCOL_VERSION: u32 = 6;

/// Number of `Call::Run` and of `Response::Outcome` among their variants. These messages may be refused
/// when the memory for clients is short; all others are needed to run the fleet.
pub const REFUSABLE_VARIANT: u32 = 1;

/// The first message that each side of a connection sends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub format: u32,
    pub host: HostId,
    pub incarnation: Incarnation,
}

/// A call from the host that opened the connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Call {
    Ping,
    /// Runs a statement on a channel. The first job of a channel brings the `target`, which opens
    /// it.
    Run {
        channel: ChannelId,
        target: Option<Target>,
        job: Box<Job>,
    },
    /// Ends a channel and rolls back its open transaction. Has no answer.
    End {
        channel: ChannelId,
    },
    /// Requests tokens of an organisation's rate limit.
    Tokens {
        organisation: OrganisationId,
        requests: Vec<TokenRequest>,
    },
    /// Requests a recent position of a service's primary.
    ReadFloor {
        service: String,
    },
    /// Requests the age of the store's content, and the content itself where it is newer than these
    /// revisions. The answer may be delayed up to `max_wait` until there is a change.
    View {
        role: SourceRole,
        known: Vec<(ObjectKind, Revision)>,
        max_wait: Duration,
    },
    /// Requests that the host stop using the primary in the record with this revision.
    Quiesce {
        service: String,
        revision: Revision,
    },
    /// Requests that `Quiesce` be forwarded to a host that the caller cannot reach.
    QuiesceAt {
        host: HostId,
        service: String,
        revision: Revision,
    },
    /// Requests what the called host knows of a service's primary from before this era of the store.
    FormerRecord {
        service: String,
        era: Era,
    },
    /// Asks whether the called host can reach the primary of a service.
    PrimaryReachable {
        service: String,
    },
    /// Brings counts of statements to an aggregator.
    Usage(Box<UsageMessage>),
    /// Requests the wall clock of the called host.
    WallClock,
    /// Requests tokens for a host that has asked a former owner of the rate.
    TokensFor {
        host: HostId,
        organisation: OrganisationId,
        requests: Vec<TokenRequest>,
    },
    /// Brings the tokens of rates that the caller has lost to the called host.
    Handover(Vec<Handover>),
}

impl Call {
    /// How long the called host may hold the answer back.
    pub fn hold(&self) -> Duration {
        match self {
            Self::View { max_wait, .. } => *max_wait,
            _ => Duration::ZERO,
        }
    }
}

/// As what a host asks another one for its view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SourceRole {
    /// The caller relies on the called host to watch the store.
    StoreWatcher,
    /// The caller relies on the called host to follow the store watcher.
    Relay,
    /// The caller does not rely on the called host.
    Peer,
}

/// What a host knows about the objects of one kind.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KindReport {
    pub kind: ObjectKind,
    /// Revision of the last change.
    pub content: Revision,
    /// Age of the content, measured by the sender.
    pub age: Duration,
    /// Which of the caller's objects no longer exist, if its content is older.
    pub difference: Difference,
    /// Objects that changed after the caller's revision.
    pub objects: Vec<Object>,
    /// False if the objects were left out because of their size.
    pub complete: bool,
}

impl KindReport {
    /// Whether the report changes the caller's copy.
    pub fn is_change(&self) -> bool {
        let names = match &self.difference {
            Difference::All(names) | Difference::Removed(names) => names,
        };
        !names.is_empty() || !self.objects.is_empty()
    }
}

/// How a report tells which objects no longer exist.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Difference {
    /// Names of all objects that exist.
    All(Vec<String>),
    /// Names of the objects that were removed since the caller's revision.
    Removed(Vec<String>),
}

/// The answer to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Response {
    Done,
    /// The outcome of a statement, and the load of the member that ran it.
    Outcome(Outcome, Option<MemberLoad>),
    /// Tokens granted for each request of the call.
    Tokens(Vec<u32>),
    ReadFloor(Option<(Duration, LogPosition)>),
    View {
        /// How long the answer was delayed to wait for a change.
        waited: Duration,
        reports: Vec<KindReport>,
    },
    FormerRecord(Box<HostKnowledge>),
    PrimaryReachable(bool),
    /// The host no longer uses the primary. Holds the position of the last commit that it
    /// acknowledged.
    Quiesced(Option<LogPosition>),
    /// Answer to a ping, with the time since the process started.
    Alive {
        age: Duration,
    },
    /// The aggregator has the counts. Names its process, and the host that sends usage reports with
    /// the revision of the record that says so.
    Usage {
        incarnation: Incarnation,
        holder: Option<(Revision, HostId)>,
    },
    /// Wall clock of the host since the Unix epoch, and the time since its process started.
    WallClock {
        wall: Duration,
        age: Duration,
    },
}

/// A call or an answer, with the id of the call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct WithId<T> {
    pub id: CallId,
    pub body: T,
}

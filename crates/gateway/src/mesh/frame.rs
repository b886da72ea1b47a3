//! Messages between hosts.

use std::time::Duration;

use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::OrganisationId;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::position::LogPosition;
use serde::Deserialize;
use serde::Serialize;

use crate::model::job::Job;
use crate::model::job::Target;
use crate::model::kind::Kind;
use crate::model::object::Object;
use crate::model::outcome::Outcome;

/// Number of a call on its connection.
pub type CallId = u64;
/// Number of a channel on its connection.
pub type ChannelId = u64;

/// Version of these messages; a host of another version is refused.
pub const FORMAT: u32 = 2;

/// First message of a connection, in both directions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    pub format: u32,
    pub host: HostId,
    pub incarnation: Incarnation,
}

/// A message of the host that opened the connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Call {
    Ping,
    /// Runs a statement; `target` opens the channel with its first job.
    Run {
        channel: ChannelId,
        target: Option<Target>,
        job: Box<Job>,
    },
    /// Ends a channel; an open transaction is rolled back. Has no answer.
    End {
        channel: ChannelId,
    },
    /// Takes tokens of an organisation's rate.
    Tokens {
        organisation: OrganisationId,
        count: u32,
    },
    /// Asks for a recent position of a service's primary.
    Floor {
        service: String,
    },
    /// Asks for the store's content, where it differs from these revisions, and for its age. The
    /// answer may wait up to `hold` for a change.
    View {
        known: Vec<(Kind, Revision)>,
        hold: Duration,
    },
    /// Asks to stop using a service's primary, whose record has this revision.
    Quiesce {
        service: String,
        revision: Revision,
    },
    /// Asks to pass the same question on to a host that the caller does not reach.
    QuiesceAt {
        host: HostId,
        service: String,
        revision: Revision,
    },
    /// Asks whether the primary of a service answers this host.
    Reach {
        service: String,
    },
}

/// What a host knows of one kind.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct KindReport {
    pub kind: Kind,
    /// Revision of the last change.
    pub content: Revision,
    /// Age of the content, counted at the sender.
    pub age: Duration,
    /// Names of all objects, if the asker's content is older.
    pub names: Vec<String>,
    /// Objects that changed after the asker's content.
    pub objects: Vec<Object>,
    /// False if the objects were left out because of their size.
    pub complete: bool,
}

/// Answer to a call.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Return {
    Done,
    Outcome(Outcome),
    Tokens(u32),
    Floor(Option<(Duration, LogPosition)>),
    View {
        /// Time for which the answer waited.
        held: Duration,
        reports: Vec<KindReport>,
    },
    Reach(bool),
    /// The host uses the primary no longer; the last commit that it acknowledged.
    Quiesced(Option<LogPosition>),
    /// Answer to a ping: the time since the process started.
    Alive {
        age: Duration,
    },
}

/// A call or an answer with its number.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Numbered<T> {
    pub id: CallId,
    pub body: T,
}

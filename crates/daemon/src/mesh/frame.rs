//! Wire format of control messages.

use magnoliahatch_core::heartbeat::Heartbeat;
use magnoliahatch_core::ids::HostId;
use magnoliahatch_core::ids::Incarnation;
use magnoliahatch_core::ids::Revision;
use magnoliahatch_core::limit::LimitId;
use magnoliahatch_core::loan::LoanGrant;
use magnoliahatch_core::loan::LoanRequest;
use magnoliahatch_core::message::Message;
use magnoliahatch_core::seat_table::SeatTable;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

use crate::mesh::announcement::Announcement;

/// Format version. It is the first byte of every frame, so that it can be read before the rest.
pub const VERSION: u8 = 2;

/// Content of a frame.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Body {
    Heartbeat(Heartbeat, Announcement),
    Seats(SeatTable),
    BrokerRequest(Vec<(LimitId, LoanRequest)>),
    BrokerGrant(Vec<(LimitId, LoanGrant)>),
    LoanRequest(Vec<(LimitId, LoanRequest)>),
    LoanGrant(Vec<(LimitId, LoanGrant)>),
    ConfigPull(Revision),
    /// Sent between heartbeats when the state of a primary or a switchover changes, since
    /// statements wait for it.
    Announce(Announcement),
    /// A configuration patch as JSON, since postcard cannot encode values without a fixed schema.
    ConfigPush(String),
}

/// A control message with its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Frame {
    pub sender: HostId,
    pub incarnation: Incarnation,
    /// Matches a configuration push to its pull; other bodies carry their own numbers.
    pub request: u64,
    pub body: Body,
}

/// Why a frame was rejected.
#[derive(Debug, Error, PartialEq)]
pub enum FrameError {
    #[error("frame is empty")]
    Empty,
    #[error("frame has format version {0}, this daemon reads version {VERSION}")]
    Version(u8),
    #[error("frame cannot be read: {0}")]
    Format(#[from] postcard::Error),
}

impl Frame {
    pub fn encode(&self) -> Result<Vec<u8>, FrameError> {
        Ok(postcard::to_extend(self, vec![VERSION])?)
    }

    pub fn decode(data: &[u8]) -> Result<Self, FrameError> {
        match data.split_first() {
            None => Err(FrameError::Empty),
            Some((&VERSION, rest)) => Ok(postcard::from_bytes(rest)?),
            Some((&version, _)) => Err(FrameError::Version(version)),
        }
    }
}

impl Body {
    /// Wraps a message of the limits module; a heartbeat also carries the announcement.
    pub fn from_message(message: Message, announcement: &Announcement) -> Self {
        match message {
            Message::Heartbeat(heartbeat) => Self::Heartbeat(heartbeat, announcement.clone()),
            Message::Seats(table) => Self::Seats(table),
            Message::BrokerRequest(requests) => Self::BrokerRequest(requests),
            Message::BrokerGrant(grants) => Self::BrokerGrant(grants),
            Message::LoanRequest(requests) => Self::LoanRequest(requests),
            Message::LoanGrant(grants) => Self::LoanGrant(grants),
        }
    }
}

//! Messages between daemons about seats and loans.

use serde::Deserialize;
use serde::Serialize;

use crate::heartbeat::Heartbeat;
use crate::limit::LimitId;
use crate::loan::LoanGrant;
use crate::loan::LoanRequest;
use crate::seat_table::SeatTable;

/// A message to another host. Requests or grants for several limits are combined into one message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    Heartbeat(Heartbeat),
    /// Sent to a peer whose heartbeat shows an older table version, so that tables spread while the
    /// store is down.
    Seats(SeatTable),
    /// The sender is the broker of these limits and requests unused floors.
    BrokerRequest(Vec<(LimitId, LoanRequest)>),
    /// Answer to `BrokerRequest`, which lends unused floors.
    BrokerGrant(Vec<(LimitId, LoanGrant)>),
    /// The sender needs more than its floor of these limits.
    LoanRequest(Vec<(LimitId, LoanRequest)>),
    /// Answer to `LoanRequest`.
    LoanGrant(Vec<(LimitId, LoanGrant)>),
}

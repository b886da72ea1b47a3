//! Messages between daemons that concern seats and loans.

use serde::Deserialize;
use serde::Serialize;

use crate::heartbeat::Heartbeat;
use crate::limit::LimitId;
use crate::loan::LoanGrant;
use crate::loan::LoanRequest;
use crate::seat_table::SeatTable;

/// One message; loans of several limits to the same host travel together.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    Heartbeat(Heartbeat),
    /// Sent to a peer whose heartbeat shows an older table, so that tables spread while the store
    /// is down.
    Seats(SeatTable),
    /// The sender pools these limits and asks for unused floors.
    LoanPool(Vec<(LimitId, LoanRequest)>),
    /// Answer to `LoanPool`: unused floors.
    LoanOffer(Vec<(LimitId, LoanGrant)>),
    /// The sender wants more than its floor of these limits.
    LoanRequest(Vec<(LimitId, LoanRequest)>),
    /// Answer to `LoanRequest`.
    LoanGrant(Vec<(LimitId, LoanGrant)>),
}

//! A client's open transaction.

use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::MemberId;

use crate::member::channel_handle::ChannelHandle;
use crate::model::route::Route;
use crate::policy::access::Access;

/// A transaction that the client opened with BEGIN. It begins on a member with the first statement
/// that needs a member.
#[derive(Debug)]
pub struct Transaction {
    pub read_only: bool,
    /// The route as it was at BEGIN; changes apply from the next transaction on.
    pub route: Rc<Route>,
    /// `None` until the first statement that needs a member.
    pub channel: Option<OpenChannel>,
    /// Time at which the last statement ended.
    pub last_used: Duration,
}

/// An open channel and the member that it runs on.
#[derive(Debug)]
pub struct OpenChannel {
    pub handle: ChannelHandle,
    pub member: MemberId,
    /// Whether the member is used as the primary.
    pub primary: bool,
    /// For whom and where the channel runs statements.
    pub access: Access,
}

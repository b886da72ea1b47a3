//! A client's open transaction.

use std::rc::Rc;
use std::time::Duration;

use magnoliahatch_core::ids::MemberId;

use crate::member::channel_handle::ChannelHandle;
use crate::model::route::Route;

/// Opened by BEGIN; the member's side begins with the first statement that needs one.
#[derive(Debug)]
pub struct Transaction {
    pub read_only: bool,
    /// The route as it was at BEGIN; changes apply from the next transaction on.
    pub route: Rc<Route>,
    pub channel: Option<OpenChannel>,
    /// When the last statement ended.
    pub rested: Duration,
}

/// A channel and the member behind it.
#[derive(Debug)]
pub struct OpenChannel {
    pub handle: ChannelHandle,
    pub member: MemberId,
    /// Whether it runs at the primary.
    pub primary: bool,
}

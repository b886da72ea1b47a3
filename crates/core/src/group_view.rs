//! A daemon's view of a database group.

use std::collections::BTreeMap;

use crate::ids::MemberId;
use crate::ids::Term;
use crate::member_view::MemberView;

/// Latest known state of a database group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupView {
    /// Highest term that any member has reported.
    pub term: Term,
    /// Member that serves as primary in `term`; `None` while no member does.
    pub primary: Option<MemberId>,
    pub members: BTreeMap<MemberId, MemberView>,
}

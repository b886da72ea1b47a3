//! What a daemon last heard of a database group.

use std::collections::BTreeMap;

use crate::ids::MemberId;
use crate::ids::Term;
use crate::member_view::MemberView;

/// Last known state of a database group.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct GroupView {
    /// Highest term heard of any member.
    pub term: Term,
    /// Member that serves as primary in `term`; none while a primary is being replaced.
    pub primary: Option<MemberId>,
    pub members: BTreeMap<MemberId, MemberView>,
}

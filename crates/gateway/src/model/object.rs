//! Objects of the platform's store, as decoded by the platform adapter.

use magnoliahatch_core::ids::Revision;
use serde::Deserialize;
use serde::Serialize;

use crate::model::configuration::Configuration;
use crate::model::duty_record::DutyRecord;
use crate::model::host_entry::HostEntry;
use crate::model::member_entry::MemberEntry;
use crate::model::primary_record::PrimaryRecord;

/// Content of an object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Content {
    Configuration(Configuration),
    Member(MemberEntry),
    Evacuation,
    Host(HostEntry),
    Primary(PrimaryRecord),
    Duty(DutyRecord),
}

/// An object with the revision of its last change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    pub name: String,
    pub revision: Revision,
    /// `None` if the content cannot be decoded.
    pub content: Option<Content>,
}

/// All objects of a kind.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Listing {
    pub objects: Vec<Object>,
    /// Store revision at which the list was made.
    pub revision: Revision,
}

/// A change of one object.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    Set(Object),
    Removed(String),
}

/// Changes since an earlier revision, up to and including `revision`.
#[derive(Debug, Clone, PartialEq)]
pub struct Changes {
    pub changes: Vec<Change>,
    pub revision: Revision,
}

//! Roles of database group members.

use std::str::FromStr;

use thiserror::Error;

/// Role of a member in its database group.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Role {
    Primary,
    #[default]
    Replica,
    /// The member has granted a newer term and does not follow a primary yet.
    Fenced,
}

/// The text is not the name of a role.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("{0:?} is not a role; expected primary, replica or fenced")]
pub struct RoleError(pub String);

impl FromStr for Role {
    type Err = RoleError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "primary" => Ok(Self::Primary),
            "replica" => Ok(Self::Replica),
            "fenced" => Ok(Self::Fenced),
            _ => Err(RoleError(text.to_owned())),
        }
    }
}

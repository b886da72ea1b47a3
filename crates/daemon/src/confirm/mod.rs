//! Confirmation of answers by a second member of the database group.

pub mod confirmer;
pub mod freshness;

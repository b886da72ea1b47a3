//! Confirms answers by a second member of the database group before they are sent to the client.

pub mod confirmer;
pub mod freshness;

//! Aliases for identifiers shared by all crates.

/// Name of an organisation; the `user` of a caller's startup message.
pub type OrganisationId = String;
/// Name of a host that runs an entry daemon.
pub type HostId = String;
/// Name of a database group.
pub type DatabaseId = String;
/// Name of a member of a database group.
pub type MemberId = String;
/// Name of a data centre.
pub type DataCentreId = String;
/// Name of a route; the `database` of a caller's startup message.
pub type RouteId = String;
/// Identifier of one key of an organisation.
pub type KeyId = String;
/// Identifier that a writer stores in an object to recognise its own change.
pub type ChangeId = String;
/// Random number that distinguishes two runs of a daemon on the same host.
pub type Incarnation = u64;
/// Number of a seat; each seat owns an equal part of every limit.
pub type SeatNumber = u32;
/// Term of a database group's primary; grows with each change of primary.
pub type Term = u64;
/// Index of an entry in a database group's log.
pub type LogIndex = u64;
/// Store-wide revision; an object's version is the revision of its last change.
pub type Revision = u64;
/// Number of a loan request; grows within one incarnation of the borrower.
pub type LoanId = u64;
/// Number of a heartbeat; grows within one incarnation of the sender.
pub type HeartbeatId = u64;

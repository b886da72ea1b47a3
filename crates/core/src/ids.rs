//! Type aliases for the identifiers that the crates share.

/// Name of an organisation; the `user` of a client's startup message.
pub type OrganisationId = String;
/// Name of a host, a machine that runs the proxy daemon.
pub type HostId = String;
/// Name of a database group.
pub type DatabaseId = String;
/// Name of a member of a database group.
pub type MemberId = String;
/// Name of a data centre.
pub type DataCentreId = String;
/// Name of a route; the `database` of a client's startup message.
pub type RouteId = String;
/// Identifier of an access key of an organisation.
pub type KeyId = String;
/// Identifier that a writer stores with an object to recognise its own change.
pub type ChangeId = String;
/// Random number that distinguishes the runs of a daemon on the same host.
pub type Incarnation = u64;
/// Number of a seat. Each seat owns an equal share of every limit.
pub type SeatNumber = u32;
/// Term of a database group's primary, which increases with each change of primary.
pub type Term = u64;
/// Index of an entry in a database group's log.
pub type LogIndex = u64;
/// Store-wide revision. An object's version is the revision of its latest change.
pub type Revision = u64;
/// Number of a loan request, which increases within one incarnation of the borrower.
pub type LoanId = u64;
/// Number of a heartbeat, which increases within one incarnation of the sender.
pub type HeartbeatId = u64;

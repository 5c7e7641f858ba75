//! Type aliases for the ids of the fleet.

/// The name of a service in the catalogue.
pub type ServiceName = String;

/// The name of a node, unique in the fleet.
pub type NodeId = String;

/// The name of a backend server, unique in the fleet.
pub type ServerId = String;

/// The name of a failure domain.
pub type DomainName = String;

/// A catalogue revision. The empty catalogue is revision 0, and every accepted change adds one.
pub type Revision = u64;

/// The number of starts of a node or backend server; messages of a lower incarnation are outdated.
pub type Incarnation = u64;

/// Identifies one request on one hop; the response must echo it.
pub type Exchange = u128;

/// Identifies one attempt to claim a quorum register.
pub type Attempt = u128;

/// The number of a shard of the register key space.
pub type Shard = u32;

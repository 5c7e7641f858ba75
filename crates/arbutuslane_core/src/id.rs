//! Type aliases for the ids of the fleet.

/// The name of a service in the catalogue.
pub type ServiceName = String;

/// The name of a node, unique in the fleet.
pub type NodeId = String;

/// The name of a backend server, unique in the fleet.
pub type ServerId = String;

/// The name of a failure domain.
pub type DomainName = String;

/// A catalogue revision; every accepted change raises it by one, and 0 is the empty catalogue.
pub type Revision = u64;

/// Counts the starts of a node or backend server; a message of a lower incarnation is outdated.
pub type Incarnation = u64;

/// Identifies one request on one hop; the answer must echo it.
pub type Exchange = u128;

/// Identifies one attempt to claim a quorum register.
pub type Attempt = u128;

/// The number of a shard of the register key space.
pub type Shard = u32;

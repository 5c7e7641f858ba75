//! Requests to replicas of quorum registers, with conversions to and from the types of the state
//! machine.
//!
//! 128-bit numbers are encoded as pairs of their high and low 64 bits.

mod convert;

use serde::{Deserialize, Serialize};

/// A 128-bit number as its high and low 64 bits.
pub type U128Halves = (u64, u64);

/// The kind of request that a claim protects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request with an idempotency key.
    Booking,
    /// A request that has crashed a server and runs alone.
    Exclusive,
}

/// A stored response of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are replayed.
    pub headers: Vec<(String, String)>,
    /// The body.
    #[serde(with = "super::gossip::bytes")]
    pub body: std::sync::Arc<[u8]>,
}

/// Claims a register.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The shard.
    pub shard: u32,
    /// The epoch of the group.
    pub epoch: u64,
    /// The key of the register.
    pub key: U128Halves,
    /// The id of the coordinator's attempt.
    pub attempt: U128Halves,
    /// The fingerprint of the request, which detects a different request under the same key.
    pub fingerprint: u64,
    /// The kind of request that the claim protects.
    pub kind: Kind,
}

/// The operation that is requested on a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// Requests a new grant.
    Claim,
    /// Extends the lease.
    Renew,
    /// Ends the lease.
    Release,
}

/// The serialized form of [`arbutuslane_record::message::Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Claims a register.
    Claim(Claim),
    /// Withdraws an attempt that was not dispatched and will not be.
    Withdraw {
        /// The shard.
        shard: u32,
        /// The key of the register.
        key: U128Halves,
        /// The id of the attempt.
        attempt: U128Halves,
    },
    /// Records that an attempt has run.
    Complete {
        /// The claim of the attempt.
        claim: Claim,
        /// The response, unless it is too large to be stored.
        answer: Option<Kept>,
    },
    /// Requests the registers of a shard.
    Pull {
        /// The shard.
        shard: u32,
        /// The epoch of the group.
        epoch: u64,
        /// The name of the sender.
        node: String,
        /// The sender's incarnation.
        incarnation: u64,
        /// The position at which the page starts: 0 at first, then `next` of the previous page.
        cursor: u32,
    },
    /// Claims, renews or releases a permit.
    Permit {
        /// The shard.
        shard: u32,
        /// The epoch of the group.
        epoch: u64,
        /// The service.
        service: String,
        /// The permit's number.
        number: u32,
        /// The server that is to be ejected.
        server: String,
        /// The id of the holder's attempt.
        attempt: U128Halves,
        /// How unhealthy the server is.
        severity: u32,
        /// The requested operation.
        ask: Ask,
        /// The round of the request, which identifies responses to earlier requests.
        round: u32,
    },
}

/// Why a claim is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The replica has not recovered.
    Recovering,
    /// The replica has adopted another epoch.
    Epoch,
    /// The attempt was withdrawn earlier.
    Withdrawn,
    /// The replica has no memory left.
    Full,
    /// The node has no replica of the shard.
    NoReplica,
}

/// The state of a register at a replica after a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Holding {
    /// The register belongs to the claim's own attempt.
    Accepted,
    /// The register belongs to another attempt.
    Taken {
        /// The id of that attempt.
        attempt: U128Halves,
        /// The fingerprint of its request.
        fingerprint: u64,
        /// Whether the attempt is known to have run.
        complete: bool,
        /// The response to the attempt.
        answer: Option<Kept>,
    },
    /// The claim is refused.
    Refused(Refusal),
}

/// The contents of a register as one replica sends it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// The key of the register.
    pub key: U128Halves,
    /// The attempts that may have won, with the fingerprints of their requests.
    pub attempts: Vec<(U128Halves, u64)>,
    /// The kind of request that the claim protects.
    pub kind: Kind,
    /// The age of the claim in seconds.
    pub age: u32,
    /// Whether the first attempt is known to have run.
    pub complete: bool,
    /// The response with its age in seconds.
    pub answer: Option<(u32, Kept)>,
}

/// The serialized form of [`arbutuslane_record::message::Response`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The response to [`Message::Claim`].
    Claim {
        /// The epoch that the replica has adopted.
        epoch: u64,
        /// The incarnations of the group's members that the replica knows.
        incarnations: Vec<u64>,
        /// The state of the register at the replica.
        holding: Holding,
    },
    /// The response to [`Message::Pull`].
    Page {
        /// The epoch that the replica has adopted.
        epoch: u64,
        /// Whether the replica votes.
        voting: bool,
        /// The incarnations of the group's members that the replica knows.
        incarnations: Vec<u64>,
        /// The registers of this page.
        copies: Vec<Copy>,
        /// The `cursor` of the next page, or `None` after the last one.
        next: Option<u32>,
    },
    /// The response to a claim or renewal in [`Message::Permit`].
    Permit {
        /// The id of the requesting attempt.
        attempt: U128Halves,
        /// The round of the request.
        round: u32,
        /// Whether the replica grants the permit.
        granted: bool,
        /// The highest severity among refused claims of the service in the last 2 s.
        waiting: u32,
        /// A permit number that the replica would grant instead of the refused one.
        free: Option<u32>,
    },
    /// The response to a withdrawal, a completion or the release of a permit.
    Done,
}

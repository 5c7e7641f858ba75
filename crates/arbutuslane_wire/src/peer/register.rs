//! Requests to replicas of quorum registers, with conversions to and from the state machine.
//!
//! 128-bit numbers travel as pairs of high and low 64 bits.

mod convert;

use serde::{Deserialize, Serialize};

/// A 128-bit number: high and low half.
pub type Wide = (u64, u64);

/// What a claim protects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A request with an idempotency key.
    Booking,
    /// A request that runs alone.
    Exclusive,
}

/// A response of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
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
    /// The register.
    pub key: Wide,
    /// The attempt.
    pub attempt: Wide,
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// What the claim protects.
    pub kind: Kind,
}

/// What is asked about a permit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Ask {
    /// A new grant.
    Claim,
    /// A longer lease.
    Renew,
    /// The end of the lease.
    Release,
}

/// See [`arbutuslane_record::message::Request`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Claims a register.
    Claim(Claim),
    /// Gives up an attempt.
    Withdraw {
        /// The shard.
        shard: u32,
        /// The register.
        key: Wide,
        /// The attempt.
        attempt: Wide,
    },
    /// Records that an attempt has run.
    Complete {
        /// The claim.
        claim: Claim,
        /// The response, where it is kept.
        answer: Option<Kept>,
    },
    /// Asks for the registers of a shard.
    Pull {
        /// The shard.
        shard: u32,
        /// The epoch of the group.
        epoch: u64,
        /// The sender.
        node: String,
        /// The sender's incarnation.
        incarnation: u64,
        /// Where to go on.
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
        /// The server to eject.
        server: String,
        /// The attempt.
        attempt: Wide,
        /// How unhealthy the server is.
        severity: u32,
        /// What is asked.
        ask: Ask,
        /// The round of the request.
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
    /// The attempt was withdrawn before.
    Withdrawn,
    /// The replica has no memory left.
    Full,
    /// The node keeps no replica of the shard.
    NoReplica,
}

/// What a replica holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Holding {
    /// The claim's own attempt.
    Accepted,
    /// Another attempt.
    Taken {
        /// The attempt.
        attempt: Wide,
        /// Its fingerprint.
        fingerprint: u64,
        /// Whether it has run.
        complete: bool,
        /// Its response.
        answer: Option<Kept>,
    },
    /// Nothing.
    Refused(Refusal),
}

/// A register as one replica passes it to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Copy {
    /// The register.
    pub key: Wide,
    /// The attempts with their fingerprints.
    pub attempts: Vec<(Wide, u64)>,
    /// What the claim protects.
    pub kind: Kind,
    /// The age of the claim in seconds.
    pub age: u32,
    /// Whether the first attempt has run.
    pub complete: bool,
    /// The response with its age in seconds.
    pub answer: Option<(u32, Kept)>,
}

/// See [`arbutuslane_record::message::Response`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// To a claim.
    Claim {
        /// The replica's epoch.
        epoch: u64,
        /// The incarnations that the replica knows.
        incarnations: Vec<u64>,
        /// What the replica holds.
        holding: Holding,
    },
    /// To a pull.
    Page {
        /// The replica's epoch.
        epoch: u64,
        /// Whether the replica votes.
        voting: bool,
        /// The incarnations that the replica knows.
        incarnations: Vec<u64>,
        /// Some of the registers.
        copies: Vec<Copy>,
        /// Where to go on.
        next: Option<u32>,
    },
    /// To a permit request.
    Permit {
        /// The attempt.
        attempt: Wide,
        /// The round of the request.
        round: u32,
        /// Whether the replica grants.
        granted: bool,
        /// The highest severity that waits.
        waiting: u32,
        /// A number that would be granted.
        free: Option<u32>,
    },
    /// Received.
    Done,
}

//! Requests to replicas and their responses.

use std::sync::Arc;

use arbutuslane_core::id::{Attempt, Incarnation, NodeId, Shard};

use crate::key::Key;
use crate::permit;

/// What a claim protects, which decides how long it is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A request with an idempotency key; kept for 24 h.
    Booking,
    /// A request that has crashed a server and runs alone; kept for 10 min.
    Exclusive,
}

/// A response of a backend server as it is replayed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are replayed.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Arc<[u8]>,
}

impl Answer {
    /// Returns the size that counts against the limits on kept answers.
    pub fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len() + 48).sum();
        self.body.len() + headers
    }
}

/// Claims a register.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The shard.
    pub shard: Shard,
    /// The epoch of the group that the coordinator knows.
    pub epoch: u64,
    /// The register.
    pub key: Key,
    /// The coordinator's attempt.
    pub attempt: Attempt,
    /// Tells a different request under the same key.
    pub fingerprint: u64,
    /// What the claim protects.
    pub kind: Kind,
}

/// A request to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Claims a register.
    Claim(Claim),
    /// Gives up an attempt that did not and will not dispatch.
    Withdraw {
        /// The shard.
        shard: Shard,
        /// The register.
        key: Key,
        /// The attempt.
        attempt: Attempt,
    },
    /// Records that an attempt has run.
    Complete {
        /// The claim that the attempt held.
        claim: Claim,
        /// The response, unless it is too large to be kept.
        answer: Option<Answer>,
    },
    /// Asks for the registers of a shard.
    Pull {
        /// The shard.
        shard: Shard,
        /// The epoch that the sender has adopted.
        epoch: u64,
        /// The sender.
        node: NodeId,
        /// The sender's incarnation.
        incarnation: Incarnation,
        /// Where to go on; 0 at first.
        cursor: u32,
    },
    /// Claims, renews or releases a permit.
    Permit(permit::Request),
}

/// A register as one replica passes it to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Copy {
    /// The register.
    pub key: Key,
    /// The attempts that may have won with their fingerprints; one, but for recovered replicas.
    pub attempts: Vec<(Attempt, u64)>,
    /// What the claim protects.
    pub kind: Kind,
    /// The age of the claim in seconds.
    pub age: u32,
    /// Whether the first attempt is known to have run.
    pub complete: bool,
    /// The response with its age in seconds.
    pub answer: Option<(u32, Answer)>,
}

/// What a replica holds for a claimed register.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Holding {
    /// The claim's own attempt.
    Accepted,
    /// Another attempt.
    Taken {
        /// That attempt.
        attempt: Attempt,
        /// The fingerprint of its request.
        fingerprint: u64,
        /// Whether it is known to have run.
        complete: bool,
        /// Its response.
        answer: Option<Answer>,
    },
    /// Nothing, and the claim is refused.
    Refused(Refusal),
}

/// Why a replica refuses a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
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

/// A response of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// To a claim.
    Claim {
        /// The epoch that the replica has adopted.
        epoch: u64,
        /// The incarnations of the group's members that the replica knows, in the group's order.
        incarnations: Vec<Incarnation>,
        /// What the replica holds.
        holding: Holding,
    },
    /// To a pull.
    Page {
        /// The epoch that the replica has adopted.
        epoch: u64,
        /// Whether the replica votes.
        voting: bool,
        /// The incarnations of the group's members that the replica knows.
        incarnations: Vec<Incarnation>,
        /// Some of the registers.
        copies: Vec<Copy>,
        /// Where to go on, or nothing after the last page.
        next: Option<u32>,
    },
    /// To a claim or renewal of a permit.
    Permit(permit::Response),
    /// To a withdrawal, a completion or a release.
    Done,
}

//! Requests to the replicas of a group, and the replicas' responses.

use std::sync::Arc;

use arbutuslane_core::id::{Attempt, Incarnation, NodeId, Shard};

use crate::key::Key;
use crate::permit;

/// The kind of request that a claim protects, which decides how long its register is stored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// A request with an idempotency key; its register is stored for 24 h.
    Booking,
    /// A request that has crashed a server and runs one at a time; its register is stored for
    /// 10 min.
    Exclusive,
}

/// The stored response of a backend server, which is replayed to a request with the same key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers, as pairs of name and value.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Arc<[u8]>,
}

impl StoredResponse {
    /// Returns the size in bytes that counts against the limits on stored responses.
    pub fn size(&self) -> usize {
        let headers: usize =
            self.headers.iter().map(|(name, value)| name.len() + value.len() + 48).sum();
        self.body.len() + headers
    }
}

/// The claim of one attempt to a register.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claim {
    /// The shard of the register.
    pub shard: Shard,
    /// The epoch of the group that the coordinator knows.
    pub epoch: u64,
    /// The key of the register.
    pub key: Key,
    /// The coordinator's attempt.
    pub attempt: Attempt,
    /// The hash of the request, which detects a different request under the same key.
    pub fingerprint: u64,
    /// The kind of request that the claim protects.
    pub kind: Kind,
}

/// A request to a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Request {
    /// Claims a register.
    Claim(Claim),
    /// Withdraws an attempt that did not and will not run its request.
    Withdraw {
        /// The shard of the register.
        shard: Shard,
        /// The key of the register.
        key: Key,
        /// The attempt.
        attempt: Attempt,
    },
    /// Records that the request of an attempt has run.
    Complete {
        /// The claim of the attempt.
        claim: Claim,
        /// The response, or `None` when it is not stored, for example because of its size.
        answer: Option<StoredResponse>,
    },
    /// Requests one page of the registers of a shard.
    Pull {
        /// The shard.
        shard: Shard,
        /// The epoch that the sender has adopted.
        epoch: u64,
        /// The node that sends the request.
        node: NodeId,
        /// The incarnation of that node.
        incarnation: Incarnation,
        /// The slot to continue from; 0 for the first page.
        cursor: u32,
    },
    /// Claims, renews or releases a permit.
    Permit(permit::Request),
}

/// The state of a register, as one replica sends it to a recovering one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisterCopy {
    /// The key of the register.
    pub key: Key,
    /// The attempts that a majority may have accepted, each with its fingerprint. There is more
    /// than one only when the sender has recovered and merged copies that differ.
    pub attempts: Vec<(Attempt, u64)>,
    /// The kind of request that the claim protects.
    pub kind: Kind,
    /// The age of the claim in seconds.
    pub age: u32,
    /// Whether the request of the first attempt is known to have run.
    pub complete: bool,
    /// The age in seconds of the stored response, and the response.
    pub answer: Option<(u32, StoredResponse)>,
}

/// The result of a claim at one replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimResult {
    /// The replica has accepted the claim's attempt.
    Accepted,
    /// The replica has accepted another attempt.
    Taken {
        /// The other attempt.
        attempt: Attempt,
        /// The fingerprint of the other attempt's request.
        fingerprint: u64,
        /// Whether that request is known to have run.
        complete: bool,
        /// The stored response to that request.
        answer: Option<StoredResponse>,
    },
    /// The replica refuses the claim and does not report the state of the register.
    Refused(Refusal),
}

/// The reason for which a replica refuses a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The replica has not recovered yet.
    Recovering,
    /// The replica has adopted another epoch.
    Epoch,
    /// The attempt has been withdrawn.
    Withdrawn,
    /// The replica has reached its limit on registers.
    Full,
    /// The node has no replica of the shard.
    NoReplica,
}

/// A response of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Response {
    /// The response to a claim.
    Claim {
        /// The epoch that the replica has adopted.
        epoch: u64,
        /// The latest incarnation of each member that the replica knows, in the group's order.
        incarnations: Vec<Incarnation>,
        /// The result of the claim.
        result: ClaimResult,
    },
    /// The response to a pull.
    Page {
        /// The epoch that the replica has adopted.
        epoch: u64,
        /// Whether the replica votes.
        voting: bool,
        /// The latest incarnation of each member that the replica knows, in the group's order.
        incarnations: Vec<Incarnation>,
        /// The registers of this page.
        copies: Vec<RegisterCopy>,
        /// The cursor of the next page, or `None` on the last page.
        next: Option<u32>,
    },
    /// The response to a permit request.
    Permit(permit::Response),
    /// The acknowledgement of a withdrawal or a completion.
    Done,
}

//! Requests and responses of the operator API (JSON).
//!
//! The serialized types of the catalogue are in the catalogue's crate.

use serde::{Deserialize, Serialize};

/// The response to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision that the change made.
    pub revision: u64,
}

/// The response to a change that was refused because another change was accepted first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The current revision.
    pub revision: u64,
    /// The id of the change that made the current revision.
    pub winner: String,
    /// The author of that change.
    pub author: String,
}

/// The body of POST `/v1/groups/<shard>/reset`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupReset {
    /// The id of the change; a repeated request with the same id gets the first response.
    pub change_id: String,
}

/// The response to the reset of a register group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupEpoch {
    /// The shard of the group.
    pub shard: u32,
    /// The epoch that the reset made.
    pub epoch: u64,
}

/// The response of a control instance that is not the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotLeader {
    /// The address of the leader's operator API, when known.
    pub leader: Option<String>,
}

/// A refusal with its remedy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What is wrong.
    pub error: String,
    /// How to correct it.
    pub remedy: String,
}

/// The response to GET `/v1/history`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct History {
    /// The current revision.
    pub revision: u64,
    /// The accepted changes that are still stored, oldest first.
    pub records: Vec<Record>,
}

/// One accepted change.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Record {
    /// The revision that the change made.
    pub revision: u64,
    /// The id of the change.
    pub change_id: String,
    /// The operator who made the change.
    pub author: String,
    /// When the leader accepted the change, in milliseconds since 1970-01-01 UTC; 0 when not known.
    pub at_ms: u64,
    /// The services whose entries the change added, replaced or removed.
    pub services: Vec<String>,
}

/// The state of one control instance as another one observes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name of the instance.
    pub name: String,
    /// Whether its vote counts.
    pub voter: bool,
    /// Whether a message from the instance arrived within the last two seconds.
    pub reachable: bool,
    /// Milliseconds since the last message from the instance; `None` before the first one.
    pub silent_ms: Option<u64>,
    /// The highest log index known to be replicated to the instance; only the leader knows it.
    pub matched: Option<u64>,
}

/// A node's last report of the revision that it has in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRevision {
    /// The name of the node.
    pub node: String,
    /// The revision in force there.
    pub revision: u64,
    /// Milliseconds since the report.
    pub age_ms: u64,
}

/// The state of one control instance.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the instance.
    pub name: String,
    /// `catching-up`, `follower`, `pre-candidate`, `candidate`, `leader`, `waiting` or `stopped`.
    pub role: String,
    /// The current term.
    pub term: u64,
    /// The name of the leader, when known.
    pub leader: Option<String>,
    /// The address of the leader's operator API, when known.
    pub leader_address: Option<String>,
    /// The revision that this instance has applied.
    pub revision: u64,
    /// The version of the register groups that this instance has applied.
    pub group_version: u64,
    /// The index of the last applied log entry.
    pub applied: u64,
    /// Whether this instance receives no messages from a majority.
    pub isolated: bool,
    /// The failure after which the instance stopped permanently.
    pub failure: Option<String>,
    /// The control instances, including this one.
    pub instances: Vec<Instance>,
    /// The revisions in force on nodes that report to this instance.
    pub nodes: Vec<NodeRevision>,
}

/// One event of a control instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The sequence number of the event on this instance, counted from 1.
    pub sequence: u64,
    /// Milliseconds since 1970-01-01 UTC.
    pub at_ms: u64,
    /// The kind of the event, such as `leader-changed` or `instance-lost`.
    pub kind: String,
    /// The details of the event as `key=value` pairs.
    pub detail: String,
}

/// The events after a given sequence number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// The events, oldest first.
    pub events: Vec<Event>,
}

/// A change to the set of control instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "action")]
pub enum Membership {
    /// Adds an instance, which votes once it has caught up.
    Add {
        /// The instance to add.
        instance: Address,
        /// The id of the change; a repeated request with the same id gets the first response.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        change_id: Option<String>,
    },
    /// Removes an instance.
    Remove {
        /// The name of the instance.
        name: String,
    },
    /// Adds an instance and removes another one once the new one votes.
    Replace {
        /// The name of the instance to remove.
        name: String,
        /// The instance to add.
        instance: Address,
        /// The id of the change; a repeated request with the same id gets the first response.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        change_id: Option<String>,
    },
}

/// The addresses of a control instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Address {
    /// The name of the instance.
    pub name: String,
    /// The IP address and port of its `peers` listener.
    pub peers: String,
    /// The IP address and port of its `operators` listener.
    pub operators: String,
}

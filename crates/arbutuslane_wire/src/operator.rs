//! Answers of the operator API (JSON). The catalogue's own border types are in its crate.

use serde::{Deserialize, Serialize};

/// The answer to an accepted change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The revision that the change made.
    pub revision: u64,
}

/// The answer to a change that lost a race.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Conflict {
    /// The current revision.
    pub revision: u64,
    /// The id of the change that made it.
    pub winner: String,
    /// The author of that change.
    pub author: String,
}

/// The body of POST `/v1/groups/<shard>/reset`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GroupReset {
    /// The id of the change; a resend with the same id gets the first answer.
    pub change_id: String,
}

/// The answer to a reset of a register group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupEpoch {
    /// The shard of the group.
    pub shard: u32,
    /// The epoch that the reset made.
    pub epoch: u64,
}

/// The answer of a control instance that does not lead.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NotLeader {
    /// The address of the leader's operator API, where known.
    pub leader: Option<String>,
}

/// A refusal with its remedy.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What is wrong.
    pub error: String,
    /// What to do about it.
    pub remedy: String,
}

/// The response to GET `/v1/history`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct History {
    /// The current revision.
    pub revision: u64,
    /// The accepted changes that are still kept, oldest first.
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
    /// The operator who made it.
    pub author: String,
    /// When the leader accepted it, in milliseconds since 1970-01-01 UTC; 0 when not known.
    pub at_ms: u64,
    /// The services whose entries it added, replaced or removed.
    pub services: Vec<String>,
}

/// One control instance as another one sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// The name of the instance.
    pub name: String,
    /// Whether its vote counts.
    pub voter: bool,
    /// Whether it was heard from within the last two seconds.
    pub reachable: bool,
    /// Milliseconds since it was last heard from, unless it never was.
    pub silent_ms: Option<u64>,
    /// The index up to which it is known to hold the log; the leader knows this.
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
    /// The name of the leader, where known.
    pub leader: Option<String>,
    /// The address of the leader's operator API, where known.
    pub leader_address: Option<String>,
    /// The revision that this instance has applied.
    pub revision: u64,
    /// The version of the register groups that this instance has applied.
    pub group_version: u64,
    /// The index of the last applied log entry.
    pub applied: u64,
    /// Whether this instance hears from no majority.
    pub isolated: bool,
    /// Why the instance stopped for good.
    pub failure: Option<String>,
    /// The control instances, this one included.
    pub instances: Vec<Instance>,
    /// The revisions in force on nodes that report to this instance.
    pub nodes: Vec<NodeRevision>,
}

/// One event of a control instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The position of the event on this instance, from 1.
    pub sequence: u64,
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The kind of the event, such as `leader-changed` or `instance-lost`.
    pub kind: String,
    /// What happened, as key=value pairs.
    pub detail: String,
}

/// Events after a given one, oldest first.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Events {
    /// The events.
    pub events: Vec<Event>,
}

/// A change of the control instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", tag = "action")]
pub enum Membership {
    /// Adds an instance, which votes after it has caught up.
    Add {
        /// The instance to add.
        instance: Address,
        /// The id of the change; a resend with the same id gets the first answer.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        change_id: Option<String>,
    },
    /// Removes an instance.
    Remove {
        /// The name of the instance.
        name: String,
    },
    /// Adds an instance and removes another one after the new one votes.
    Replace {
        /// The name of the instance to remove.
        name: String,
        /// The instance to add.
        instance: Address,
        /// The id of the change; a resend with the same id gets the first answer.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        change_id: Option<String>,
    },
}

/// Where a control instance is reached.
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

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
pub struct History {
    /// Accepted changes, oldest first.
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
}

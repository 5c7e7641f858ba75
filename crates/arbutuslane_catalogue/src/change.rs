//! Changes that operators propose, and how they were answered.

use arbutuslane_core::id::{Revision, ServiceName, Shard};

use crate::entry::Entry;
use crate::group::Group;

/// The whole desired catalogue against a stated revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Chosen by the operator's client; a resend carries the same id.
    pub id: String,
    /// The operator who made the change.
    pub author: String,
    /// The revision that the change was made from.
    pub base: Revision,
    /// The entries that replace all earlier ones.
    pub entries: Vec<Entry>,
}

/// One entry that a change adds, replaces or removes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// The service of the entry.
    pub service: ServiceName,
    /// The entry before the change, if there was one.
    pub before: Option<Entry>,
    /// The entry after the change, unless it is removed.
    pub after: Option<Entry>,
}

/// A [`Change`] reduced to what differs from its base.
///
/// The log holds this form: the whole catalogue in every log entry would cost about 1 GB a day at
/// 600 services and 3,500 changes. It is applied only at its base revision, where the reduction is
/// exact.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The id of the change.
    pub id: String,
    /// The operator who made the change.
    pub author: String,
    /// The revision that the change was made from.
    pub base: Revision,
    /// The edits in ascending order of their service.
    pub edits: Vec<Edit>,
}

/// Returns the edits that lead from `before` to `after`; both are sorted by service.
pub fn edits(before: &[Entry], after: &[Entry]) -> Vec<Edit> {
    let find = |entries: &[Entry], service: &str| {
        let index = entries.binary_search_by(|entry| entry.service.as_str().cmp(service)).ok()?;
        Some(entries[index].clone())
    };
    let mut services: Vec<&ServiceName> =
        before.iter().chain(after).map(|entry| &entry.service).collect();
    services.sort_unstable();
    services.dedup();
    let mut edits = Vec::new();
    for service in services {
        let edit = Edit {
            service: service.clone(),
            before: find(before, service),
            after: find(after, service),
        };
        if edit.before != edit.after {
            edits.push(edit);
        }
    }
    edits
}

/// How a change was answered; a resend of the same change id is answered alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change is in the catalogue.
    Accepted {
        /// The revision that the change made.
        revision: Revision,
    },
    /// Another change came first.
    Conflict {
        /// The current revision.
        revision: Revision,
        /// The id of the change that made it.
        winner: String,
        /// The author of that change.
        author: String,
    },
    /// A register group was reset.
    GroupReset {
        /// The shard of the group.
        shard: Shard,
        /// The epoch that the reset made.
        epoch: u64,
    },
    /// A control instance was added or replaced.
    MembersChanged,
}

/// An operator's reset of a register group that lost too many members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reset {
    /// The id of the change.
    pub id: String,
    /// The operator who made it.
    pub author: String,
    /// The group after the reset.
    pub group: Group,
}

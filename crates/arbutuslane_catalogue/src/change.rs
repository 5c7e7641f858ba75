//! Catalogue changes that operators propose, and their outcomes.

use arbutuslane_core::id::{Revision, ServiceName, Shard};

use crate::entry::Entry;
use crate::group::Group;

/// A whole catalogue that is proposed as the successor of a stated revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The id that the operator's client chose; a resend carries the same id.
    pub id: String,
    /// The operator who made the change.
    pub author: String,
    /// The revision on which the change is based.
    pub base: Revision,
    /// The entries that replace all entries of the base revision.
    pub entries: Vec<Entry>,
}

/// One entry that a change adds, replaces or removes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Edit {
    /// The service of the entry.
    pub service: ServiceName,
    /// The entry before the change; `None` when the change adds it.
    pub before: Option<Entry>,
    /// The entry after the change; `None` when the change removes it.
    pub after: Option<Entry>,
}

/// A [`Change`] reduced to its differences from the base revision.
///
/// The log stores this form, since the whole catalogue in every log entry would take about 1 GB a
/// day at 600 services and 3,500 changes. A proposal is applied only at its base revision, where its
/// edits are exact.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// The id of the change.
    pub id: String,
    /// The operator who made the change.
    pub author: String,
    /// The revision on which the change is based.
    pub base: Revision,
    /// The edits in ascending order of their service.
    pub edits: Vec<Edit>,
}

/// Returns the edits that turn `before` into `after`; both must be sorted by service.
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

/// The outcome of a change; a resend with the same change id gets the same outcome.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// The change was applied to the catalogue.
    Accepted {
        /// The revision that the change created.
        revision: Revision,
    },
    /// The change is based on a revision that is no longer the current one.
    Conflict {
        /// The current revision.
        revision: Revision,
        /// The id of the change that created the current revision.
        winner: String,
        /// The author of that change.
        author: String,
    },
    /// A register group was reset.
    GroupReset {
        /// The shard of the group.
        shard: Shard,
        /// The epoch that the reset created.
        epoch: u64,
    },
    /// A control instance was added or replaced.
    MembersChanged,
}

/// An operator's reset of a register group that lost too many members.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reset {
    /// The change id of the reset.
    pub id: String,
    /// The operator who requested the reset.
    pub author: String,
    /// The group after the reset.
    pub group: Group,
}

//! Serialized forms of the replicated state and of its commands, for the log and its snapshots.

use serde::{Deserialize, Serialize};

use crate::border::{Entry, Group, Snapshot};
use crate::change;
use crate::state;

/// A command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// A change that an operator proposed.
    Change(Proposal),
    /// Register groups that the control instances assigned.
    Groups(Vec<Group>),
    /// An operator's reset of a register group.
    Reset(Reset),
}

/// The serialized form of [`change::Reset`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reset {
    /// The change id of the reset.
    pub id: String,
    /// The operator who requested the reset.
    pub author: String,
    /// The group after the reset.
    pub group: Group,
}

/// The serialized form of [`change::Edit`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// The service of the entry.
    pub service: String,
    /// The entry before the change; `None` when the change adds it.
    pub before: Option<Entry>,
    /// The entry after the change; `None` when the change removes it.
    pub after: Option<Entry>,
}

/// The serialized form of [`change::Proposal`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proposal {
    /// The id of the change.
    pub id: String,
    /// The operator who made the change.
    pub author: String,
    /// The revision on which the change is based.
    pub base: u64,
    /// The edits in ascending order of their service.
    pub edits: Vec<Edit>,
}

/// The changes that lead from one [`Snapshot`] to a later one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotDelta {
    /// The revision after the delta.
    pub revision: u64,
    /// The version of the register groups after the delta.
    pub group_version: u64,
    /// The entries that are new or changed.
    pub entries: Vec<Entry>,
    /// The services whose entries are removed.
    pub removed: Vec<String>,
    /// The groups that are new or changed.
    pub groups: Vec<Group>,
}

impl SnapshotDelta {
    /// Returns the delta from one snapshot to a later one.
    pub fn between(old: &Snapshot, new: &Snapshot) -> Self {
        let mut delta =
            Self { revision: new.revision, group_version: new.group_version, ..Self::default() };
        for entry in &new.entries {
            if !old.entries.contains(entry) {
                delta.entries.push(entry.clone());
            }
        }
        for entry in &old.entries {
            if !new.entries.iter().any(|other| other.service == entry.service) {
                delta.removed.push(entry.service.clone());
            }
        }
        for group in &new.groups {
            if !old.groups.contains(group) {
                delta.groups.push(group.clone());
            }
        }
        delta
    }

    /// Returns the delta that leads to `state`, whose latest change is `record`.
    pub fn for_change(state: &state::State, record: &state::Record) -> Self {
        let mut delta = Self::without_changes(state);
        for edit in &record.edits {
            match &edit.after {
                Some(entry) => delta.entries.push(entry.clone().into()),
                None => delta.removed.push(edit.service.clone()),
            }
        }
        delta
    }

    /// Returns the delta that leads to `state`, whose latest change is of the groups of `shards`.
    pub fn for_groups(state: &state::State, shards: &[u32]) -> Self {
        let changed = state.groups.iter().filter(|group| shards.contains(&group.shard));
        Self { groups: changed.cloned().map(Into::into).collect(), ..Self::without_changes(state) }
    }

    /// Returns a delta to the position of `state` that changes no entries or groups.
    fn without_changes(state: &state::State) -> Self {
        Self { revision: state.revision, group_version: state.group_version, ..Self::default() }
    }
}

impl Snapshot {
    /// Applies `delta`, which must lead from this snapshot.
    pub fn apply_delta(&mut self, delta: SnapshotDelta) {
        self.revision = delta.revision;
        self.group_version = delta.group_version;
        // A snapshot that an operator wrote to a file may be unsorted.
        self.entries.retain(|entry| {
            !delta.removed.contains(&entry.service)
                && !delta.entries.iter().any(|changed| changed.service == entry.service)
        });
        self.entries.extend(delta.entries);
        self.entries.sort_by(|left, right| left.service.cmp(&right.service));
        self.groups
            .retain(|group| !delta.groups.iter().any(|changed| changed.shard == group.shard));
        self.groups.extend(delta.groups);
        self.groups.sort_by_key(|group| group.shard);
    }
}

/// The serialized form of [`change::Outcome`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// See [`change::Outcome::Accepted`].
    Accepted {
        /// The revision that the change created.
        revision: u64,
    },
    /// See [`change::Outcome::Conflict`].
    Conflict {
        /// The current revision.
        revision: u64,
        /// The id of the change that created the current revision.
        winner: String,
        /// The author of that change.
        author: String,
    },
    /// See [`change::Outcome::GroupReset`].
    GroupReset {
        /// The shard of the group.
        shard: u32,
        /// The epoch that the reset created.
        epoch: u64,
    },
    /// See [`change::Outcome::MembersChanged`].
    MembersChanged,
}

/// The serialized form of [`state::Record`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The revision that the change created.
    pub revision: u64,
    /// The id of the change.
    pub change_id: String,
    /// The operator who made it.
    pub author: String,
    /// The edits of the change in ascending order of their service.
    pub edits: Vec<Edit>,
}

/// The serialized form of [`state::State`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// The current revision.
    pub revision: u64,
    /// The version of the register groups, which increases with each change of a group.
    pub group_version: u64,
    /// The entries in ascending order of their service.
    pub entries: Vec<Entry>,
    /// The register groups in ascending order of their shard.
    pub groups: Vec<Group>,
    /// The accepted changes, oldest first.
    pub history: Vec<Record>,
    /// The outcomes of changes by change id, oldest first.
    pub answered: Vec<(String, Outcome)>,
}

impl From<Edit> for change::Edit {
    fn from(edit: Edit) -> Self {
        Self {
            service: edit.service,
            before: edit.before.map(Into::into),
            after: edit.after.map(Into::into),
        }
    }
}

impl From<change::Edit> for Edit {
    fn from(edit: change::Edit) -> Self {
        Self {
            service: edit.service,
            before: edit.before.map(Into::into),
            after: edit.after.map(Into::into),
        }
    }
}

impl From<Proposal> for change::Proposal {
    fn from(proposal: Proposal) -> Self {
        Self {
            id: proposal.id,
            author: proposal.author,
            base: proposal.base,
            edits: proposal.edits.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<change::Proposal> for Proposal {
    fn from(proposal: change::Proposal) -> Self {
        Self {
            id: proposal.id,
            author: proposal.author,
            base: proposal.base,
            edits: proposal.edits.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<Reset> for change::Reset {
    fn from(reset: Reset) -> Self {
        Self { id: reset.id, author: reset.author, group: reset.group.into() }
    }
}

impl From<change::Reset> for Reset {
    fn from(reset: change::Reset) -> Self {
        Self { id: reset.id, author: reset.author, group: reset.group.into() }
    }
}

impl From<Outcome> for change::Outcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Accepted { revision } => Self::Accepted { revision },
            Outcome::Conflict { revision, winner, author } => {
                Self::Conflict { revision, winner, author }
            }
            Outcome::GroupReset { shard, epoch } => Self::GroupReset { shard, epoch },
            Outcome::MembersChanged => Self::MembersChanged,
        }
    }
}

impl From<change::Outcome> for Outcome {
    fn from(outcome: change::Outcome) -> Self {
        match outcome {
            change::Outcome::Accepted { revision } => Self::Accepted { revision },
            change::Outcome::Conflict { revision, winner, author } => {
                Self::Conflict { revision, winner, author }
            }
            change::Outcome::GroupReset { shard, epoch } => Self::GroupReset { shard, epoch },
            change::Outcome::MembersChanged => Self::MembersChanged,
        }
    }
}

impl From<Record> for state::Record {
    fn from(record: Record) -> Self {
        Self {
            revision: record.revision,
            change_id: record.change_id,
            author: record.author,
            edits: record.edits.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<state::Record> for Record {
    fn from(record: state::Record) -> Self {
        Self {
            revision: record.revision,
            change_id: record.change_id,
            author: record.author,
            edits: record.edits.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<State> for state::State {
    fn from(state: State) -> Self {
        let outcomes = state.answered.into_iter();
        Self {
            revision: state.revision,
            group_version: state.group_version,
            entries: state.entries.into_iter().map(Into::into).collect(),
            groups: state.groups.into_iter().map(Into::into).collect(),
            history: state.history.into_iter().map(Into::into).collect(),
            outcomes: outcomes.map(|(id, outcome)| (id, outcome.into())).collect(),
        }
    }
}

impl From<&state::State> for State {
    fn from(state: &state::State) -> Self {
        let outcomes = state.outcomes.iter().cloned();
        Self {
            revision: state.revision,
            group_version: state.group_version,
            entries: state.entries.iter().cloned().map(Into::into).collect(),
            groups: state.groups.iter().cloned().map(Into::into).collect(),
            history: state.history.iter().cloned().map(Into::into).collect(),
            answered: outcomes.map(|(id, outcome)| (id, outcome.into())).collect(),
        }
    }
}

impl From<&state::State> for Snapshot {
    fn from(state: &state::State) -> Self {
        Self {
            revision: state.revision,
            group_version: state.group_version,
            entries: state.entries.iter().cloned().map(Into::into).collect(),
            groups: state.groups.iter().cloned().map(Into::into).collect(),
        }
    }
}

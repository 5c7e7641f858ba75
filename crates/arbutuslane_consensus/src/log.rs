//! Log entries, snapshots, the durable state of a replica and its log in memory.

use crate::member::{Id, Member};

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Body {
    /// No command; a new leader appends it to commit the entries of earlier terms.
    Noop,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The membership that applies from this entry on.
    Members(Vec<Member>),
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The position in the log. Indices start at 1, which the snapshot of [`DurableState::initial`]
    /// has; 0 stands for an empty log.
    pub index: u64,
    /// The term of the leader that appended the entry.
    pub term: u64,
    /// The content.
    pub body: Body,
}

/// The state of a group after the entry `index`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Snapshot {
    /// The index of the last entry that the state includes.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The membership at that entry.
    pub members: Vec<Member>,
    /// The encoded state machine.
    pub payload: Vec<u8>,
}

/// The durable state of a replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DurableState {
    /// The id of the replica.
    pub id: Id,
    /// The highest term that it has seen.
    pub term: u64,
    /// The replica that received its vote in that term.
    pub vote: Option<Id>,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl DurableState {
    /// Returns the state of a replica whose data folder is new.
    pub fn empty(id: Id) -> Self {
        Self { id, term: 0, vote: None, snapshot: None, entries: Vec::new() }
    }

    /// Returns the initial state of the replica `id` of a new group.
    ///
    /// All `members` of the group must start with the same `members` and `payload`.
    pub fn initial(id: Id, members: Vec<Member>, payload: Vec<u8>) -> Self {
        // A leader sends its snapshot only to replicas whose log ends before it. At index 0 the
        // snapshot would not reach a replica with an empty log, which ends at index 0 as well.
        let snapshot = Snapshot { index: 1, term: 1, members, payload };
        Self { id, term: 1, vote: None, snapshot: Some(snapshot), entries: Vec::new() }
    }
}

/// The log in memory: the newest snapshot and the entries after it.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    pub(crate) snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
    /// The latest membership, committed or not.
    members: Vec<Member>,
    /// The index of the entry or snapshot that `members` comes from.
    members_index: u64,
}

impl Log {
    pub(crate) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self { snapshot, entries, members: Vec::new(), members_index: 0 };
        log.refresh_members();
        log
    }

    /// Returns the index of the snapshot, which the entries follow; 0 without a snapshot.
    pub(crate) fn base_index(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base_index() + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.term_at(self.last_index()).unwrap_or(0)
    }

    /// Returns the latest membership, committed or not.
    pub(crate) fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the index of the entry or snapshot that the latest membership comes from.
    pub(crate) fn members_index(&self) -> u64 {
        self.members_index
    }

    /// Returns the term of the entry at `index`, or `None` when the log does not have that entry.
    ///
    /// The term is 0 at index 0, and that of the snapshot at the index of the snapshot.
    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == 0 {
            return Some(0);
        }
        match &self.snapshot {
            Some(snapshot) if snapshot.index == index => Some(snapshot.term),
            _ => self.get(index).map(|entry| entry.term),
        }
    }

    /// Returns the entry at `index`, or `None` when it is compacted or beyond the end.
    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base_index() + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns up to `count` entries after `index`, which must not precede the snapshot.
    pub(crate) fn entries_after(&self, index: u64, count: usize) -> Vec<Entry> {
        let skip_count =
            usize::try_from(index.saturating_sub(self.base_index())).unwrap_or(usize::MAX);
        self.entries.iter().skip(skip_count).take(count).cloned().collect()
    }

    pub(crate) fn push(&mut self, entry: Entry) {
        if let Body::Members(members) = &entry.body {
            self.members.clone_from(members);
            self.members_index = entry.index;
        }
        self.entries.push(entry);
    }

    /// Removes the entries from `index` on.
    pub(crate) fn truncate(&mut self, index: u64) {
        let kept_count =
            usize::try_from(index.saturating_sub(self.base_index() + 1)).unwrap_or(usize::MAX);
        self.entries.truncate(kept_count);
        self.refresh_members();
    }

    /// Replaces the snapshot and removes the entries that it covers.
    ///
    /// Returns whether the log does not have the snapshot's last entry, so that all entries were
    /// removed. The new snapshot must not precede the current one.
    pub(crate) fn set_snapshot(&mut self, snapshot: Snapshot) -> bool {
        let discard_entries = self.term_at(snapshot.index) != Some(snapshot.term);
        let covered_count =
            usize::try_from(snapshot.index - self.base_index()).unwrap_or(usize::MAX);
        match discard_entries {
            true => self.entries.clear(),
            false => {
                self.entries.drain(..covered_count.min(self.entries.len()));
            }
        }
        self.snapshot = Some(snapshot);
        self.refresh_members();
        discard_entries
    }

    /// Returns the membership as of the entry `index`, at the earliest that of the snapshot.
    pub(crate) fn members_at(&self, index: u64) -> Vec<Member> {
        let mut members = match &self.snapshot {
            Some(snapshot) => snapshot.members.clone(),
            None => Vec::new(),
        };
        for entry in self.entries.iter().take_while(|entry| entry.index <= index) {
            if let Body::Members(newer) = &entry.body {
                members.clone_from(newer);
            }
        }
        members
    }

    /// Recomputes the latest membership after entries were removed or the snapshot was replaced.
    fn refresh_members(&mut self) {
        for entry in self.entries.iter().rev() {
            if let Body::Members(members) = &entry.body {
                self.members.clone_from(members);
                self.members_index = entry.index;
                return;
            }
        }
        // No entry changes the membership, so it is that of the snapshot.
        self.members = self.members_at(0);
        self.members_index = self.base_index();
    }
}

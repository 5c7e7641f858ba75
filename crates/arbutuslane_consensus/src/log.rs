//! The part of the log that a replica keeps in memory.

use crate::member::{Id, Member};

/// What an entry does.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Body {
    /// Nothing; a new leader commits earlier terms with it.
    Blank,
    /// A command for the state machine.
    Command(Vec<u8>),
    /// The membership from this entry on.
    Members(Vec<Member>),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Entry {
    /// The position, from 1.
    pub index: u64,
    /// The term of the leader that made the entry.
    pub term: u64,
    /// What the entry does.
    pub body: Body,
}

/// The state after the entry `index`.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Snapshot {
    /// The index of the last entry in the state.
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
pub struct Saved {
    /// The replica.
    pub id: Id,
    /// The highest term that it has seen.
    pub term: u64,
    /// Whom it voted for in that term.
    pub vote: Option<Id>,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Saved {
    /// Returns the state of a replica whose data folder is new.
    pub fn empty(id: Id) -> Self {
        Self { id, term: 0, vote: None, snapshot: None, entries: Vec::new() }
    }

    /// Returns the first state of a new group; it must be the same on each of its `members`.
    pub fn founded(id: Id, members: Vec<Member>, payload: Vec<u8>) -> Self {
        let snapshot = Snapshot { index: 1, term: 1, members, payload };
        Self { id, term: 1, vote: None, snapshot: Some(snapshot), entries: Vec::new() }
    }
}

/// Entries after a snapshot.
#[derive(Debug, Clone)]
pub(crate) struct Log {
    pub(crate) snapshot: Option<Snapshot>,
    entries: Vec<Entry>,
    members: Vec<Member>,
    members_index: u64,
}

impl Log {
    pub(crate) fn new(snapshot: Option<Snapshot>, entries: Vec<Entry>) -> Self {
        let mut log = Self { snapshot, entries, members: Vec::new(), members_index: 0 };
        log.find_members();
        log
    }

    /// The index that the entries follow.
    pub(crate) fn base(&self) -> u64 {
        self.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)
    }

    pub(crate) fn last_index(&self) -> u64 {
        self.base() + self.entries.len() as u64
    }

    pub(crate) fn last_term(&self) -> u64 {
        self.term_at(self.last_index()).unwrap_or(0)
    }

    /// The latest membership, committed or not.
    pub(crate) fn members(&self) -> &[Member] {
        &self.members
    }

    /// The index of the entry that made the latest membership.
    pub(crate) fn members_index(&self) -> u64 {
        self.members_index
    }

    pub(crate) fn term_at(&self, index: u64) -> Option<u64> {
        if index == 0 {
            return Some(0);
        }
        match &self.snapshot {
            Some(snapshot) if snapshot.index == index => Some(snapshot.term),
            _ => self.get(index).map(|entry| entry.term),
        }
    }

    pub(crate) fn get(&self, index: u64) -> Option<&Entry> {
        let offset = index.checked_sub(self.base() + 1)?;
        self.entries.get(usize::try_from(offset).ok()?)
    }

    /// Returns up to `count` entries after `index`.
    pub(crate) fn after(&self, index: u64, count: usize) -> Vec<Entry> {
        let skipped = usize::try_from(index.saturating_sub(self.base())).unwrap_or(usize::MAX);
        self.entries.iter().skip(skipped).take(count).cloned().collect()
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
        let keep = usize::try_from(index.saturating_sub(self.base() + 1)).unwrap_or(usize::MAX);
        self.entries.truncate(keep);
        self.find_members();
    }

    /// Takes `snapshot` as the new base; returns whether the entries conflict and were removed.
    pub(crate) fn rebase(&mut self, snapshot: Snapshot) -> bool {
        let reset = self.term_at(snapshot.index) != Some(snapshot.term);
        let covered = usize::try_from(snapshot.index - self.base()).unwrap_or(usize::MAX);
        match reset {
            true => self.entries.clear(),
            false => {
                self.entries.drain(..covered.min(self.entries.len()));
            }
        }
        self.snapshot = Some(snapshot);
        self.find_members();
        reset
    }

    /// The membership as of `index`.
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

    fn find_members(&mut self) {
        for entry in self.entries.iter().rev() {
            if let Body::Members(members) = &entry.body {
                self.members.clone_from(members);
                self.members_index = entry.index;
                return;
            }
        }
        self.members = self.members_at(0);
        self.members_index = self.base();
    }
}

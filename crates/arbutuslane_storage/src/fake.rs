//! An in-memory disk that simulates power loss and device faults.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arbutuslane_core::rng::{self, Rng};
use rand::RngExt;

use crate::disk::Disk;

/// The unit in bytes that a torn write is written or lost in.
const SECTOR_BYTES: usize = 64;

#[derive(Debug, Clone, Default)]
struct FileContent {
    bytes: Vec<u8>,
    /// The bytes that remain after a power loss.
    synced: Vec<u8>,
    /// The changes of `bytes` since the last sync.
    unsynced: Vec<Change>,
}

/// A change of a file's content.
#[derive(Debug, Clone)]
enum Change {
    /// Bytes written at a position.
    Write { position: usize, bytes: Vec<u8> },
    /// A new length.
    Truncate { length: usize },
}

#[derive(Debug)]
struct State {
    files: Vec<FileContent>,
    /// The position in `files` of each file name.
    names: BTreeMap<String, usize>,
    /// The names that remain after a power loss.
    synced_names: BTreeMap<String, usize>,
    rng: Rng,
    syncs_until_failure: Option<u32>,
    writes_until_failure: Option<u32>,
    syncs: u64,
    is_full: bool,
}

/// An in-memory disk whose clones share their content.
///
/// [`crash`](Fake::crash) keeps synced data, and at random loses, truncates or corrupts the rest.
#[derive(Debug, Clone)]
pub struct Fake {
    state: Arc<Mutex<State>>,
}

impl Fake {
    /// Creates an empty disk whose random faults are determined by `seed`.
    pub fn new(seed: u64) -> Self {
        let state = State {
            files: Vec::new(),
            names: BTreeMap::new(),
            synced_names: BTreeMap::new(),
            rng: rng::seeded(seed),
            syncs_until_failure: None,
            writes_until_failure: None,
            syncs: 0,
            is_full: false,
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Simulates a power loss. Every unsynced name change of a file and every unsynced change of its
    /// content is kept or lost independently, and a write may also be torn or corrupted.
    pub fn crash(&self) {
        self.clear_failures();
        let mut state = self.lock();
        // A quarter of the power losses lose all unsynced changes.
        let loses_all = state.rng.random_bool(0.25);
        state.crash_names(loses_all);
        let State { files, rng, .. } = &mut *state;
        for content in files {
            let changes = std::mem::take(&mut content.unsynced);
            if !loses_all {
                for change in changes {
                    change.crash(&mut content.synced, rng);
                }
            }
            content.bytes.clone_from(&content.synced);
        }
    }

    /// Makes the sync after the next `count` syncs fail, and all later ones succeed.
    ///
    /// An operating system may report a failed write-back once and drop the dirty pages, so a later
    /// successful sync does not cover the data of the failed one.
    pub fn fail_sync_after(&self, count: u32) {
        self.lock().syncs_until_failure = Some(count);
    }

    /// Makes the write after the next `count` writes fail after half of its bytes.
    pub fn fail_write_after(&self, count: u32) {
        self.lock().writes_until_failure = Some(count);
    }

    /// Withdraws the failures that have been set up and have not occurred.
    pub fn clear_failures(&self) {
        let mut state = self.lock();
        state.syncs_until_failure = None;
        state.writes_until_failure = None;
    }

    /// Makes every write fail after some of its bytes, as a full disk does, until `is_full` is false
    /// again.
    pub fn set_full(&self, is_full: bool) {
        self.lock().is_full = is_full;
    }

    /// Flips one bit of the byte at `position`, as device decay can do even to synced data.
    pub fn flip(&self, name: &str, position: usize) {
        let mut state = self.lock();
        if let Some(&file) = state.names.get(name) {
            for version in [0, 1] {
                let content = &mut state.files[file];
                let bytes = if version == 0 { &mut content.bytes } else { &mut content.synced };
                if let Some(byte) = bytes.get_mut(position) {
                    *byte ^= 1;
                }
            }
        }
    }

    /// Removes every file, which simulates a replaced device.
    pub fn erase(&self) {
        let mut state = self.lock();
        state.files.clear();
        state.names.clear();
        state.synced_names.clear();
    }

    /// Returns the number of successful syncs of files.
    pub fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FileContent {
    /// Appends `bytes`.
    fn append(&mut self, bytes: &[u8]) {
        self.unsynced.push(Change::Write { position: self.bytes.len(), bytes: bytes.to_vec() });
        self.bytes.extend_from_slice(bytes);
    }

    /// Shortens the content to `length` bytes.
    fn truncate(&mut self, length: usize) {
        self.unsynced.push(Change::Truncate { length });
        self.bytes.truncate(length);
    }

    /// Makes the content durable.
    fn sync(&mut self) {
        self.unsynced.clear();
        self.synced.clone_from(&self.bytes);
    }
}

impl Change {
    /// Applies what a power loss leaves of this change to `content`.
    fn crash(self, content: &mut Vec<u8>, rng: &mut Rng) {
        let (position, bytes) = match self {
            Self::Write { position, bytes } => (position, bytes),
            Self::Truncate { length } => {
                if rng.random_bool(0.5) {
                    content.truncate(length);
                }
                return;
            }
        };
        // 0 loses the write, 1 keeps it, 2 keeps its start, 3 keeps some sectors of it, 4 flips one bit.
        let fault = rng.random_range(0..5u8);
        if fault == 0 || bytes.is_empty() {
            return;
        }
        let kept_length = match fault {
            2 => rng.random_range(0..bytes.len()),
            _ => bytes.len(),
        };
        // The file has its new length even where the bytes before this write are lost.
        if content.len() < position + kept_length {
            content.resize(position + kept_length, 0);
        }
        for (number, sector) in bytes[..kept_length].chunks(SECTOR_BYTES).enumerate() {
            if fault == 3 && rng.random_bool(0.5) {
                continue;
            }
            let start = position + number * SECTOR_BYTES;
            content[start..start + sector.len()].copy_from_slice(sector);
        }
        if fault == 4 {
            let flipped = position + rng.random_range(0..bytes.len());
            content[flipped] ^= 1 << rng.random_range(0..8u8);
        }
    }
}

impl State {
    /// Keeps or loses the unsynced name changes of each file.
    fn crash_names(&mut self, loses_all: bool) {
        let mut names = BTreeMap::new();
        for file in 0..self.files.len() {
            let name_in = |names: &BTreeMap<String, usize>| {
                let mut found = names.iter().filter(|(_, position)| **position == file);
                found.next().map(|(name, _)| name.clone())
            };
            let (current, synced) = (name_in(&self.names), name_in(&self.synced_names));
            let is_lost = loses_all || self.rng.random_bool(0.5);
            let Some(name) = (if is_lost { synced } else { current }) else { continue };
            // A file that was renamed over another one has a higher position, and replaces it.
            names.insert(name, file);
        }
        self.names = names.clone();
        self.synced_names = names;
    }

    /// Returns the position of the file `name` in `files`.
    fn file_index(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Counts one operation, and returns whether it must fail.
    fn takes_failure(counter: &mut Option<u32>) -> bool {
        match counter {
            Some(0) => {
                *counter = None;
                true
            }
            Some(remaining) => {
                *remaining -= 1;
                false
            }
            None => false,
        }
    }
}

impl Disk for Fake {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.lock().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        let state = self.lock();
        Ok(state.files[state.file_index(name)?].bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut state = self.lock();
        let file = match state.file_index(name) {
            Ok(file) => file,
            Err(_) => {
                state.files.push(FileContent::default());
                let file = state.files.len() - 1;
                state.names.insert(name.to_string(), file);
                file
            }
        };
        if State::takes_failure(&mut state.writes_until_failure) {
            state.files[file].append(&bytes[..bytes.len() / 2]);
            return Err(io::Error::other("injected write failure"));
        }
        if state.is_full {
            let written = state.rng.random_range(0..=bytes.len() / 2);
            state.files[file].append(&bytes[..written]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.files[file].append(bytes);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.lock();
        let file = state.file_index(name)?;
        if state.is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.files[file].truncate(usize::try_from(length).unwrap_or(usize::MAX));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        let file = state.file_index(name)?;
        if State::takes_failure(&mut state.syncs_until_failure) {
            return Err(io::Error::other("injected sync failure"));
        }
        state.files[file].sync();
        state.syncs += 1;
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut state = self.lock();
        if State::takes_failure(&mut state.syncs_until_failure) {
            return Err(io::Error::other("injected sync failure"));
        }
        state.synced_names = state.names.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut state = self.lock();
        let file = state.file_index(from)?;
        state.names.remove(from);
        state.names.insert(to.to_string(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        state.file_index(name)?;
        state.names.remove(name);
        Ok(())
    }
}

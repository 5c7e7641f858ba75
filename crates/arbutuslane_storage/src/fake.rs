//! An in-memory disk that simulates power loss and device faults.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arbutuslane_core::rng::{self, Rng};
use rand::RngExt;

use crate::disk::Disk;

#[derive(Debug, Clone, Default)]
struct FileContent {
    bytes: Vec<u8>,
    /// The bytes that remain after a power loss.
    synced: Vec<u8>,
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

    /// Simulates a power loss, in which unsynced names may be lost and unsynced bytes may be lost,
    /// truncated or corrupted.
    pub fn crash(&self) {
        let mut state = self.lock();
        let state = &mut *state;
        state.syncs_until_failure = None;
        state.writes_until_failure = None;
        // An operating system may write the changes of a folder in any order. This disk keeps
        // either all or none of the unsynced changes, and both cases occur.
        if state.rng.random_bool(0.5) {
            state.names = state.synced_names.clone();
        }
        state.synced_names = state.names.clone();
        for content in &mut state.files {
            // 0 loses the unsynced bytes, 1 truncates them, 2 flips one bit of them, 3 keeps them.
            // A file that is shorter than its synced content keeps its length only with 1.
            let fault = state.rng.random_range(0..4u8);
            if fault == 0 || content.bytes.len() < content.synced.len() {
                if fault != 1 {
                    content.bytes.clone_from(&content.synced);
                }
                content.synced.clone_from(&content.bytes);
                continue;
            }
            let synced = content.synced.len();
            if fault == 1 && content.bytes.len() > synced {
                let length = state.rng.random_range(synced..=content.bytes.len());
                content.bytes.truncate(length);
            }
            if fault == 2 && content.bytes.len() > synced {
                let position = state.rng.random_range(synced..content.bytes.len());
                content.bytes[position] ^= 1 << state.rng.random_range(0..8u8);
            }
            content.synced.clone_from(&content.bytes);
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

impl State {
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
            state.files[file].bytes.extend_from_slice(&bytes[..bytes.len() / 2]);
            return Err(io::Error::other("injected write failure"));
        }
        if state.is_full {
            let written = state.rng.random_range(0..=bytes.len() / 2);
            state.files[file].bytes.extend_from_slice(&bytes[..written]);
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.files[file].bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut state = self.lock();
        let file = state.file_index(name)?;
        if state.is_full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        state.files[file].bytes.truncate(usize::try_from(length).unwrap_or(usize::MAX));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut state = self.lock();
        let file = state.file_index(name)?;
        if State::takes_failure(&mut state.syncs_until_failure) {
            return Err(io::Error::other("injected sync failure"));
        }
        let content = &mut state.files[file];
        content.synced.clone_from(&content.bytes);
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

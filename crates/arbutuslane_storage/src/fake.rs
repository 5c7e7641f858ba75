//! A disk in memory that fails in the ways a power loss and a bad device allow.

use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arbutuslane_core::rng::{self, Rng};
use rand::RngExt;

use crate::disk::Disk;

#[derive(Debug, Clone, Default)]
struct Content {
    bytes: Vec<u8>,
    /// What a power loss cannot take away.
    synced: Vec<u8>,
}

#[derive(Debug)]
struct Inner {
    files: Vec<Content>,
    names: BTreeMap<String, usize>,
    synced_names: BTreeMap<String, usize>,
    rng: Rng,
    syncs_until_failure: Option<u32>,
    writes_until_failure: Option<u32>,
    syncs: u64,
}

/// A disk in memory whose clones share their content.
///
/// [`crash`](Fake::crash) keeps what was synced and, at random, loses, tears or flips the rest.
#[derive(Debug, Clone)]
pub struct Fake {
    inner: Arc<Mutex<Inner>>,
}

impl Fake {
    /// Creates an empty disk whose faults follow from `seed`.
    pub fn new(seed: u64) -> Self {
        let inner = Inner {
            files: Vec::new(),
            names: BTreeMap::new(),
            synced_names: BTreeMap::new(),
            rng: rng::seeded(seed),
            syncs_until_failure: None,
            writes_until_failure: None,
            syncs: 0,
        };
        Self { inner: Arc::new(Mutex::new(inner)) }
    }

    /// Cuts the power: unsynced names may vanish and unsynced bytes may be lost, torn or flipped.
    pub fn crash(&self) {
        let mut inner = self.lock();
        let inner = &mut *inner;
        inner.syncs_until_failure = None;
        inner.writes_until_failure = None;
        // The system writes a folder's changes in an order of its own; either all or none of the
        // unsynced ones are kept here, and both cases occur.
        if inner.rng.random_bool(0.5) {
            inner.names = inner.synced_names.clone();
        }
        inner.synced_names = inner.names.clone();
        for content in &mut inner.files {
            let kept = inner.rng.random_range(0..4u8);
            if kept == 0 || content.bytes.len() < content.synced.len() {
                if kept != 1 {
                    content.bytes.clone_from(&content.synced);
                }
                content.synced.clone_from(&content.bytes);
                continue;
            }
            let synced = content.synced.len();
            if kept == 1 && content.bytes.len() > synced {
                let length = inner.rng.random_range(synced..=content.bytes.len());
                content.bytes.truncate(length);
            }
            if kept == 2 && content.bytes.len() > synced {
                let position = inner.rng.random_range(synced..content.bytes.len());
                content.bytes[position] ^= 1 << inner.rng.random_range(0..8u8);
            }
            content.synced.clone_from(&content.bytes);
        }
    }

    /// Lets the sync after `count` further ones fail, and every later one succeed.
    ///
    /// A system may report a failed write-back once and forget the dirty pages, so a later success
    /// says nothing about what the failed sync covered.
    pub fn fail_sync_after(&self, count: u32) {
        self.lock().syncs_until_failure = Some(count);
    }

    /// Lets the write after `count` further ones fail half-way.
    pub fn fail_write_after(&self, count: u32) {
        self.lock().writes_until_failure = Some(count);
    }

    /// Flips one bit of a file, as a decaying device does to synced data.
    pub fn flip(&self, name: &str, position: usize) {
        let mut inner = self.lock();
        if let Some(&file) = inner.names.get(name) {
            for bytes in [0, 1] {
                let content = &mut inner.files[file];
                let bytes = if bytes == 0 { &mut content.bytes } else { &mut content.synced };
                if let Some(byte) = bytes.get_mut(position) {
                    *byte ^= 1;
                }
            }
        }
    }

    /// Removes every file, as a replaced device does.
    pub fn erase(&self) {
        let mut inner = self.lock();
        inner.files.clear();
        inner.names.clear();
        inner.synced_names.clear();
    }

    /// Returns the number of successful syncs of files.
    pub fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn file(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    fn fails(counter: &mut Option<u32>) -> bool {
        match counter {
            Some(0) => {
                *counter = None;
                true
            }
            Some(left) => {
                *left -= 1;
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
        let inner = self.lock();
        Ok(inner.files[inner.file(name)?].bytes.clone())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        let mut inner = self.lock();
        let file = match inner.file(name) {
            Ok(file) => file,
            Err(_) => {
                inner.files.push(Content::default());
                let file = inner.files.len() - 1;
                inner.names.insert(name.to_string(), file);
                file
            }
        };
        if Inner::fails(&mut inner.writes_until_failure) {
            inner.files[file].bytes.extend_from_slice(&bytes[..bytes.len() / 2]);
            return Err(io::Error::other("injected write failure"));
        }
        inner.files[file].bytes.extend_from_slice(bytes);
        Ok(())
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        let mut inner = self.lock();
        let file = inner.file(name)?;
        inner.files[file].bytes.truncate(usize::try_from(length).unwrap_or(usize::MAX));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.lock();
        let file = inner.file(name)?;
        if Inner::fails(&mut inner.syncs_until_failure) {
            return Err(io::Error::other("injected sync failure"));
        }
        let content = &mut inner.files[file];
        content.synced.clone_from(&content.bytes);
        inner.syncs += 1;
        Ok(())
    }

    fn sync_folder(&mut self) -> io::Result<()> {
        let mut inner = self.lock();
        if Inner::fails(&mut inner.syncs_until_failure) {
            return Err(io::Error::other("injected sync failure"));
        }
        inner.synced_names = inner.names.clone();
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        let mut inner = self.lock();
        let file = inner.file(from)?;
        inner.names.remove(from);
        inner.names.insert(to.to_string(), file);
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        let mut inner = self.lock();
        inner.file(name)?;
        inner.names.remove(name);
        Ok(())
    }
}

//! The log of what a control instance keeps for nodes.

use arbutuslane_core::time::Time;
use arbutuslane_storage::prelude::*;
use arbutuslane_wire::codec;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::writer::Folder;

#[cfg(test)]
mod tests;

/// The number of log entries after which a snapshot replaces the log; bounds its size.
const ENTRIES_BEFORE_SNAPSHOT: u64 = 1_024;

/// What a control instance keeps for nodes for a while.
pub(super) trait Kept: Default {
    /// What is kept at a time.
    type Entry: Clone;

    /// The serialized form of an entry.
    type Record: Serialize + DeserializeOwned + From<Self::Entry> + Into<Self::Entry>;

    /// Keeps an entry from `now` on.
    fn keep(&mut self, entry: &Self::Entry, now: Time);

    /// Returns all that still matters at `now`.
    fn all(&self, now: Time) -> Vec<Self::Entry>;
}

/// The metadata of the log.
#[derive(Debug, Serialize, Deserialize)]
struct Meta {
    /// Whether the log has all entries that matter.
    complete: bool,
}

/// Writes entries to a folder.
///
/// After a fault, such as a full disk, nothing is durable until [`reopen`](KeptLog::reopen)
/// succeeds, which writes all entries that still matter.
#[derive(Debug)]
pub(super) struct KeptLog<F: Folder, K: Kept> {
    folder: F,
    /// `None` after a fault, until the log is reopened.
    log: Option<Log<F::Disk>>,
    kept: K,
    next_index: u64,
    entries_since_snapshot: u64,
    is_complete: bool,
}

impl<F: Folder, K: Kept> KeptLog<F, K> {
    /// Opens the folder and reads its entries, which all are kept anew from `now` on and are returned
    /// in the order in which they were written. A damaged log is set aside. `is_new` states whether the
    /// disk was empty or damaged, so that entries may be missing.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be read.
    pub(super) fn open(folder: F, is_new: bool, now: Time) -> Result<(Self, Vec<K::Entry>), Error> {
        let opened = Log::open(folder.open()?, log::DEFAULT_SEGMENT_BYTES);
        let (log, found, is_damaged) = match opened {
            Ok((log, found)) => (log, found, false),
            Err(Error::Corrupt { .. }) => {
                let mut disk = folder.open()?;
                let readable = Log::salvage(&disk)?;
                Log::set_aside(&mut disk)?;
                (Log::open(disk, log::DEFAULT_SEGMENT_BYTES)?.0, readable, true)
            }
            Err(error) => return Err(error),
        };
        let snapshot_index = found.snapshot.as_ref().map_or(0, |snapshot| snapshot.index);
        let last_index = found.entries.last().map_or(0, |entry| entry.index).max(snapshot_index);
        let entries = Self::decode_all(&found)?;
        let mut kept = K::default();
        for entry in &entries {
            kept.keep(entry, now);
        }
        let meta: Option<Meta> = found.meta.as_deref().map(decode).transpose()?;
        let mut opened = Self {
            folder,
            log: Some(log),
            kept,
            next_index: if is_damaged { 1 } else { last_index + 1 },
            entries_since_snapshot: 0,
            // Also in the starts that follow, until those that are missing no longer matter.
            is_complete: !is_new && !is_damaged && meta.is_none_or(|meta| meta.complete),
        };
        let written = opened.write_meta();
        if written.is_err() || is_damaged && opened.save_snapshot(now).is_err() {
            opened.log = None;
        }
        Ok((opened, entries))
    }

    /// Returns whether the log has all entries that matter.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Records that entries which may be missing no longer matter.
    pub(super) fn set_complete(&mut self) {
        self.is_complete = true;
        if self.write_meta().is_err() {
            self.log = None;
        }
    }

    /// Returns whether the last write succeeded, or the log has been reopened since.
    pub(super) fn is_writable(&self) -> bool {
        self.log.is_some()
    }

    /// Makes entries durable, each of which is kept from the time beside it on.
    ///
    /// # Errors
    ///
    /// After an error the entries may be on the disk or not, and nothing is written before
    /// [`reopen`](KeptLog::reopen).
    pub(super) fn write(&mut self, entries: &[(K::Entry, Time)]) -> Result<(), Error> {
        for (entry, now) in entries {
            self.kept.keep(entry, *now);
        }
        let result = self.append(entries);
        if result.is_err() {
            self.log = None;
        }
        result
    }

    /// Opens the log again after a fault and writes all that still matters at `now`.
    pub(super) fn reopen(&mut self, now: Time) {
        self.log = None;
        let opened = self.folder.open();
        let opened = opened.and_then(|disk| Log::open(disk, log::DEFAULT_SEGMENT_BYTES));
        let Ok((log, _)) = opened else { return };
        self.log = Some(log);
        if self.write_meta().and_then(|()| self.save_snapshot(now)).is_err() {
            self.log = None;
        }
    }

    fn write_meta(&mut self) -> Result<(), Error> {
        let meta = encode(&Meta { complete: self.is_complete })?;
        let Some(log) = &mut self.log else { return Err(Error::Stopped) };
        log.append(&Batch { meta: Some(meta), entries: Vec::new() })
    }

    fn append(&mut self, entries: &[(K::Entry, Time)]) -> Result<(), Error> {
        let Some(log) = &mut self.log else { return Err(Error::Stopped) };
        let Some((_, now)) = entries.last() else { return Ok(()) };
        let mut batch = Batch::default();
        for (index, (entry, _)) in (self.next_index..).zip(entries) {
            let payload = encode(&K::Record::from(entry.clone()))?;
            batch.entries.push(Entry { index, term: 1, payload });
        }
        let entries = batch.entries.len() as u64;
        log.append(&batch)?;
        self.next_index += entries;
        self.entries_since_snapshot += entries;
        if self.entries_since_snapshot >= ENTRIES_BEFORE_SNAPSHOT {
            self.save_snapshot(*now)?;
        }
        Ok(())
    }

    fn save_snapshot(&mut self, now: Time) -> Result<(), Error> {
        let records: Vec<K::Record> = self.kept.all(now).into_iter().map(Into::into).collect();
        let payload = encode(&records)?;
        let Some(log) = &mut self.log else { return Err(Error::Stopped) };
        log.save_snapshot(&Snapshot { index: self.next_index - 1, term: 1, payload }, false)?;
        self.entries_since_snapshot = 0;
        Ok(())
    }

    fn decode_all(found: &log::Recovered) -> Result<Vec<K::Entry>, Error> {
        let mut all = Vec::new();
        if let Some(snapshot) = &found.snapshot {
            let records: Vec<K::Record> = decode(&snapshot.payload)?;
            all.extend(records.into_iter().map(Into::into));
        }
        for entry in &found.entries {
            let record: K::Record = decode(&entry.payload)?;
            all.push(record.into());
        }
        Ok(all)
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    codec::encode(value).map_err(|error| codec_error(&error))
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    codec::decode(bytes).map_err(|error| codec_error(&error))
}

fn codec_error(error: &codec::Error) -> Error {
    Error::Corrupt { file: "kept".to_string(), offset: 0, reason: error.to_string() }
}

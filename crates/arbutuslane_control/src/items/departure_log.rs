//! The log of the departures that a control instance keeps for nodes.

use arbutuslane_core::time::Time;
use arbutuslane_member::departure::Keeper;
use arbutuslane_storage::prelude::*;
use arbutuslane_wire::codec;
use arbutuslane_wire::peer::departure;
use serde::{Deserialize, Serialize};

use super::departures::OfNode;
use super::writer::Folder;

#[cfg(test)]
mod tests;

/// The number of log entries after which a snapshot replaces the log; bounds its size.
const ENTRIES_BEFORE_SNAPSHOT: u64 = 1_024;

/// The departures of one node, in an entry or in a snapshot.
#[derive(Debug, Serialize, Deserialize)]
struct Record {
    node: String,
    departures: Vec<departure::Departure>,
}

/// The metadata of the log.
#[derive(Debug, Serialize, Deserialize)]
struct Meta {
    /// Whether the log has all departures that matter.
    complete: bool,
}

/// Writes departures to a folder.
///
/// After a fault, such as a full disk, nothing is durable until [`reopen`](DepartureLog::reopen)
/// succeeds, which writes all departures that still matter.
#[derive(Debug)]
pub(super) struct DepartureLog<F: Folder> {
    folder: F,
    /// `None` after a fault, until the log is reopened.
    log: Option<Log<F::Disk>>,
    keeper: Keeper,
    next_index: u64,
    entries_since_snapshot: u64,
    is_complete: bool,
}

impl<F: Folder> DepartureLog<F> {
    /// Opens the folder and reads its departures, which all are kept anew from `now` on and are returned
    /// in the order in which they were written. A damaged log is set aside. `is_new` states whether the
    /// disk was empty or damaged, so that departures may be missing.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be read.
    pub(super) fn open(folder: F, is_new: bool, now: Time) -> Result<(Self, Vec<OfNode>), Error> {
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
        let departures = decode_all(&found)?;
        let mut keeper = Keeper::default();
        for (node, departures) in &departures {
            keeper.keep(node, departures.clone(), now);
        }
        let meta: Option<Meta> = found.meta.as_deref().map(decode).transpose()?;
        let mut opened = Self {
            folder,
            log: Some(log),
            keeper,
            next_index: if is_damaged { 1 } else { last_index + 1 },
            entries_since_snapshot: 0,
            // Also in the starts that follow, until those that are missing no longer matter.
            is_complete: !is_new && !is_damaged && meta.is_none_or(|meta| meta.complete),
        };
        let written = opened.write_meta();
        if written.is_err() || is_damaged && opened.save_snapshot(now).is_err() {
            opened.log = None;
        }
        Ok((opened, departures))
    }

    /// Returns whether the log has all departures that matter.
    pub(super) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Records that departures which may be missing no longer matter.
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

    /// Makes departures durable, each of which is kept from the time beside it on.
    ///
    /// # Errors
    ///
    /// After an error the departures may be on the disk or not, and nothing is written before
    /// [`reopen`](DepartureLog::reopen).
    pub(super) fn write(&mut self, departures: &[(OfNode, Time)]) -> Result<(), Error> {
        for ((node, departures), now) in departures {
            self.keeper.keep(node, departures.clone(), *now);
        }
        let result = self.append(departures);
        if result.is_err() {
            self.log = None;
        }
        result
    }

    /// Opens the log again after a fault and writes all departures that still matter at `now`.
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

    fn append(&mut self, departures: &[(OfNode, Time)]) -> Result<(), Error> {
        let Some(log) = &mut self.log else { return Err(Error::Stopped) };
        let Some((_, now)) = departures.last() else { return Ok(()) };
        let mut batch = Batch::default();
        for (index, (departures, _)) in (self.next_index..).zip(departures) {
            batch.entries.push(Entry {
                index,
                term: 1,
                payload: encode(&Record::from(departures))?,
            });
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
        let records: Vec<Record> = self.keeper.all(now).iter().map(Record::from).collect();
        let payload = encode(&records)?;
        let Some(log) = &mut self.log else { return Err(Error::Stopped) };
        log.save_snapshot(&Snapshot { index: self.next_index - 1, term: 1, payload }, false)?;
        self.entries_since_snapshot = 0;
        Ok(())
    }
}

impl From<&OfNode> for Record {
    fn from((node, departures): &OfNode) -> Self {
        let departures = departures.iter().cloned().map(Into::into).collect();
        Self { node: node.clone(), departures }
    }
}

impl From<Record> for OfNode {
    fn from(record: Record) -> Self {
        (record.node, record.departures.into_iter().map(Into::into).collect())
    }
}

fn decode_all(found: &log::Recovered) -> Result<Vec<OfNode>, Error> {
    let mut all = Vec::new();
    if let Some(snapshot) = &found.snapshot {
        let records: Vec<Record> = decode(&snapshot.payload)?;
        all.extend(records.into_iter().map(OfNode::from));
    }
    for entry in &found.entries {
        let record: Record = decode(&entry.payload)?;
        all.push(record.into());
    }
    Ok(all)
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    codec::encode(value).map_err(|error| codec_error(&error))
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    codec::decode(bytes).map_err(|error| codec_error(&error))
}

fn codec_error(error: &codec::Error) -> Error {
    Error::Corrupt { file: "departures".to_string(), offset: 0, reason: error.to_string() }
}

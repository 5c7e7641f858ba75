//! The log of one replica: entries and metadata in segments, and snapshots.

use crate::disk::Disk;
use crate::error::Error;
use crate::frame::{self, Record};
use crate::recovery;
use crate::snapshot::{self, Snapshot};

/// The version of the segment and snapshot formats.
pub const FORMAT_VERSION: u32 = 1;

/// The default segment size in bytes; a batch after a segment reaches it goes to a new segment.
pub const DEFAULT_SEGMENT_BYTES: u64 = 8 << 20;

pub(crate) const MAGIC: [u8; 8] = *b"ARBLSEGM";
pub(crate) const SEGMENT_PREFIX: &str = "segment-";
/// The length of a segment header: magic, format version, sequence number, number of the first
/// batch, and checksum.
///
/// The number of the first batch is stored because recovery compares the number of a damaged batch
/// with later ones, and the batch before it may be in a segment that was removed.
pub(crate) const SEGMENT_HEADER_BYTES: usize = 32;
const DAMAGED_PREFIX: &str = "damaged-";

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The position in the log, starting at 1.
    pub index: u64,
    /// The term of the leader that created the entry.
    pub term: u64,
    /// The encoded command.
    pub payload: Vec<u8>,
}

/// The metadata and entries that one call of [`Log::append`] makes durable as a whole.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// The new metadata, such as term and vote; `None` keeps the last one.
    pub meta: Option<Vec<u8>>,
    /// Entries in ascending order. An entry replaces any earlier entry with its index and all entries
    /// after that one.
    pub entries: Vec<Entry>,
}

/// The content of the folder that [`Log::open`] read.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The last metadata.
    pub meta: Option<Vec<u8>>,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The number of bytes of an unacknowledged tail that were truncated.
    pub truncated_bytes: u64,
}

/// A segment file, with the highest entry index in it or in an earlier segment.
#[derive(Debug, Clone)]
pub(crate) struct Segment {
    pub(crate) sequence: u64,
    pub(crate) last_index: u64,
}

/// The durable log of one replica.
#[derive(Debug)]
pub struct Log<D> {
    disk: D,
    /// The size from which on the active segment gets no more batches.
    segment_bytes: u64,
    /// The segments in ascending order; the last one is active.
    segments: Vec<Segment>,
    /// The size of the active segment.
    active_bytes: u64,
    next_batch: u64,
    meta: Option<Vec<u8>>,
    is_stopped: bool,
}

impl<D: Disk> Log<D> {
    /// Opens the log, truncates a torn tail and returns the recovered content.
    ///
    /// On a full disk the log is opened stopped: its content is there, but every write fails with
    /// [`Error::Stopped`] until the folder is opened again.
    ///
    /// # Errors
    ///
    /// [`Error::Corrupt`] when synced data is unreadable, and [`Error::Version`] when another
    /// release wrote the folder.
    pub fn open(mut disk: D, segment_bytes: u64) -> Result<(Self, Recovered), Error> {
        let state = recovery::recover(&mut disk)?;
        let mut log = Self {
            disk,
            segment_bytes,
            segments: state.segments,
            active_bytes: state.active_bytes,
            next_batch: state.next_batch,
            meta: state.recovered.meta.clone(),
            is_stopped: state.is_full,
        };
        if log.segments.is_empty() {
            log.start_first_segment(false)?;
        }
        if state.conflicts_with_snapshot {
            log.start_first_segment(true)?;
        }
        Ok((log, state.recovered))
    }

    /// Reads what is readable of a damaged log: the newest readable snapshot and all readable entries
    /// in the order in which they were written, some of which may be missing or replaced by others.
    pub fn salvage(disk: &D) -> Result<Recovered, Error> {
        recovery::salvage(disk)
    }

    /// Renames all files of a damaged log, so that the replica starts empty, and returns their
    /// number.
    ///
    /// The replica must then copy its state from the other replicas, and must not vote before that.
    pub fn set_aside(disk: &mut D) -> Result<usize, Error> {
        let names = disk.names().map_err(|error| Error::io("list", ".", error))?;
        let mut moved = 0;
        for name in names.iter().filter(|name| !name.starts_with(DAMAGED_PREFIX)) {
            let mut target = format!("{DAMAGED_PREFIX}{name}");
            // Files that were set aside before stay.
            while names.contains(&target) {
                target.insert_str(0, DAMAGED_PREFIX);
            }
            disk.rename(name, &target).map_err(|error| Error::io("rename", name, error))?;
            moved += 1;
        }
        disk.sync_folder().map_err(|error| Error::io("sync", ".", error))?;
        Ok(moved)
    }

    /// Makes `batch` durable.
    ///
    /// # Errors
    ///
    /// After any error the log is stopped: the file's state is unknown, so every later call fails
    /// with [`Error::Stopped`] until the folder is opened again.
    pub fn append(&mut self, batch: &Batch) -> Result<(), Error> {
        self.run_unless_stopped(|log| log.write(batch))
    }

    /// Makes `snapshot` durable and removes the segments that it covers.
    ///
    /// With `discard_entries`, all entries of the log are discarded, since they conflict with the snapshot.
    ///
    /// # Errors
    ///
    /// As [`append`](Log::append).
    pub fn save_snapshot(
        &mut self,
        snapshot: &Snapshot,
        discard_entries: bool,
    ) -> Result<(), Error> {
        self.run_unless_stopped(|log| {
            snapshot::save(&mut log.disk, snapshot)?;
            log.start_segment(discard_entries)?;
            log.remove_covered(if discard_entries { u64::MAX } else { snapshot.index })
        })
    }

    /// Runs `operation` unless the log is stopped, and stops the log when it fails.
    fn run_unless_stopped(
        &mut self,
        operation: impl FnOnce(&mut Self) -> Result<(), Error>,
    ) -> Result<(), Error> {
        if self.is_stopped {
            return Err(Error::Stopped);
        }
        let result = operation(self);
        self.is_stopped = result.is_err();
        result
    }

    fn write(&mut self, batch: &Batch) -> Result<(), Error> {
        if self.active_bytes >= self.segment_bytes {
            // The new segment repeats the old metadata, since the new metadata must take effect only
            // together with the entries of the batch.
            self.start_segment(false)?;
        }
        if batch.meta.is_some() {
            self.meta.clone_from(&batch.meta);
        }
        let mut records: Vec<Record> = batch.meta.clone().map(Record::Meta).into_iter().collect();
        records.extend(batch.entries.iter().cloned().map(Record::Entry));
        self.write_records(&records)
    }

    fn write_records(&mut self, records: &[Record]) -> Result<(), Error> {
        let mut bytes = Vec::new();
        for (position, record) in records.iter().enumerate() {
            let remaining = u32::try_from(records.len() - position - 1).unwrap_or(u32::MAX);
            frame::encode(&mut bytes, self.next_batch, remaining, record);
            if let (Record::Entry(entry), Some(segment)) = (record, self.segments.last_mut()) {
                segment.last_index = segment.last_index.max(entry.index);
            }
        }
        if bytes.is_empty() {
            return Ok(());
        }
        self.next_batch += 1;
        self.active_bytes += bytes.len() as u64;
        let name = self.active_name();
        self.disk.append(&name, &bytes).map_err(|error| Error::io("write", &name, error))?;
        self.disk.sync(&name).map_err(|error| Error::io("sync", &name, error))
    }

    /// Starts a segment while the log is opened; a full disk stops the log instead.
    fn start_first_segment(&mut self, discard_entries: bool) -> Result<(), Error> {
        if self.is_stopped {
            return Ok(());
        }
        match self.start_segment(discard_entries) {
            Err(error) if error.is_full() => {
                self.is_stopped = true;
                Ok(())
            }
            result => result,
        }
    }

    /// Starts a segment that repeats the metadata, so that older segments can be removed.
    fn start_segment(&mut self, discard_entries: bool) -> Result<(), Error> {
        let (sequence, last_index) = match self.segments.last() {
            Some(last) => (last.sequence + 1, last.last_index),
            None => (1, 0),
        };
        let last_index = if discard_entries { 0 } else { last_index };
        self.segments.push(Segment { sequence, last_index });
        self.active_bytes = SEGMENT_HEADER_BYTES as u64;
        let name = self.active_name();
        let header = segment_header(sequence, self.next_batch);
        self.disk.append(&name, &header).map_err(|error| Error::io("write", &name, error))?;
        self.disk.sync(&name).map_err(|error| Error::io("sync", &name, error))?;
        self.disk.sync_folder().map_err(|error| Error::io("sync", ".", error))?;
        let mut records: Vec<Record> = self.meta.clone().map(Record::Meta).into_iter().collect();
        if discard_entries {
            records.push(Record::Reset);
        }
        self.write_records(&records)
    }

    /// Removes the segments whose entries all have an index up to `index`, except the active one.
    fn remove_covered(&mut self, index: u64) -> Result<(), Error> {
        while self.segments.len() > 1 && self.segments[0].last_index <= index {
            let name = segment_name(self.segments[0].sequence);
            self.disk.remove(&name).map_err(|error| Error::io("remove", &name, error))?;
            self.disk.sync_folder().map_err(|error| Error::io("sync", ".", error))?;
            self.segments.remove(0);
        }
        Ok(())
    }

    fn active_name(&self) -> String {
        segment_name(self.segments.last().map_or(1, |segment| segment.sequence))
    }
}

pub(crate) fn segment_name(sequence: u64) -> String {
    format!("{SEGMENT_PREFIX}{sequence:020}")
}

fn segment_header(sequence: u64, batch: u64) -> Vec<u8> {
    let mut header = MAGIC.to_vec();
    header.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    header.extend_from_slice(&sequence.to_le_bytes());
    header.extend_from_slice(&batch.to_le_bytes());
    header.extend_from_slice(&crc32c::crc32c(&header).to_le_bytes());
    header
}

//! The log of one replica: entries and metadata in segments, and snapshots.

use crate::disk::Disk;
use crate::error::Error;
use crate::frame::{self, Record};
use crate::recovery;
use crate::snapshot::{self, Snapshot};

/// The version of the segment and snapshot formats.
pub const FORMAT_VERSION: u32 = 1;

/// The default size at which a new segment is begun.
pub const SEGMENT_BYTES: u64 = 8 << 20;

pub(crate) const MAGIC: [u8; 8] = *b"ARBLSEGM";
pub(crate) const SEGMENT_PREFIX: &str = "segment-";
/// Magic, format version, sequence number, number of the first batch, and checksum.
///
/// Recovery compares the number of a damaged batch with later ones, and the batch before it may be
/// in a segment that is gone.
pub(crate) const SEGMENT_HEAD: usize = 32;
const DAMAGED_PREFIX: &str = "damaged-";

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The position in the log, from 1.
    pub index: u64,
    /// The term of the leader that made the entry.
    pub term: u64,
    /// The encoded command.
    pub payload: Vec<u8>,
}

/// What one call of [`Log::append`] makes durable together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Batch {
    /// The new metadata, such as term and vote.
    pub meta: Option<Vec<u8>>,
    /// Entries in ascending order. An entry replaces any earlier one of its index and all after it.
    pub entries: Vec<Entry>,
}

/// What [`Log::open`] found.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    /// The last metadata.
    pub meta: Option<Vec<u8>>,
    /// The newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The bytes of the tail that were never acknowledged and have been cut.
    pub cut_bytes: u64,
}

/// A segment file with the highest index written to it or before it.
#[derive(Debug, Clone)]
pub(crate) struct Segment {
    pub(crate) sequence: u64,
    pub(crate) last_index: u64,
}

/// The durable log of one replica.
#[derive(Debug)]
pub struct Log<D> {
    disk: D,
    segment_bytes: u64,
    segments: Vec<Segment>,
    active_bytes: u64,
    next_batch: u64,
    meta: Option<Vec<u8>>,
    stopped: bool,
}

impl<D: Disk> Log<D> {
    /// Opens the log, cuts a torn tail and returns what is left.
    ///
    /// # Errors
    ///
    /// [`Error::Corrupt`] when synced data is unreadable, and [`Error::Version`] when another
    /// release wrote the folder.
    pub fn open(mut disk: D, segment_bytes: u64) -> Result<(Self, Recovered), Error> {
        let found = recovery::run(&mut disk)?;
        let mut log = Self {
            disk,
            segment_bytes,
            segments: found.segments,
            active_bytes: found.active_bytes,
            next_batch: found.next_batch,
            meta: found.recovered.meta.clone(),
            stopped: false,
        };
        if log.segments.is_empty() {
            log.begin_segment(false)?;
        }
        if found.reset {
            log.begin_segment(true)?;
        }
        Ok((log, found.recovered))
    }

    /// Sets all files of a damaged log aside, so that the replica starts empty.
    ///
    /// The replica must then copy its state from the others and not vote before it has.
    pub fn set_aside(disk: &mut D) -> Result<usize, Error> {
        let names = disk.names().map_err(|error| Error::io("list", ".", error))?;
        let mut moved = 0;
        for name in names.iter().filter(|name| !name.starts_with(DAMAGED_PREFIX)) {
            let target = format!("{DAMAGED_PREFIX}{name}");
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
        self.guarded(|log| log.write(batch))
    }

    /// Makes `snapshot` durable and removes the segments that it covers.
    ///
    /// With `reset`, all entries of the log are void, as they conflict with the snapshot.
    ///
    /// # Errors
    ///
    /// As [`append`](Log::append).
    pub fn save_snapshot(&mut self, snapshot: &Snapshot, reset: bool) -> Result<(), Error> {
        self.guarded(|log| {
            snapshot::save(&mut log.disk, snapshot)?;
            log.begin_segment(reset)?;
            log.remove_covered(if reset { u64::MAX } else { snapshot.index })
        })
    }

    fn guarded(&mut self, work: impl FnOnce(&mut Self) -> Result<(), Error>) -> Result<(), Error> {
        if self.stopped {
            return Err(Error::Stopped);
        }
        let result = work(self);
        self.stopped = result.is_err();
        result
    }

    fn write(&mut self, batch: &Batch) -> Result<(), Error> {
        if self.active_bytes >= self.segment_bytes {
            // The new segment repeats the old metadata: the new one counts only with its entries.
            self.begin_segment(false)?;
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

    /// Begins a segment that repeats the metadata, so that older segments can be removed.
    fn begin_segment(&mut self, reset: bool) -> Result<(), Error> {
        let (sequence, last_index) = match self.segments.last() {
            Some(last) => (last.sequence + 1, last.last_index),
            None => (1, 0),
        };
        let last_index = if reset { 0 } else { last_index };
        self.segments.push(Segment { sequence, last_index });
        self.active_bytes = SEGMENT_HEAD as u64;
        let name = self.active_name();
        let head = segment_head(sequence, self.next_batch);
        self.disk.append(&name, &head).map_err(|error| Error::io("write", &name, error))?;
        self.disk.sync(&name).map_err(|error| Error::io("sync", &name, error))?;
        self.disk.sync_folder().map_err(|error| Error::io("sync", ".", error))?;
        let mut records: Vec<Record> = self.meta.clone().map(Record::Meta).into_iter().collect();
        if reset {
            records.push(Record::Reset);
        }
        self.write_records(&records)
    }

    fn remove_covered(&mut self, index: u64) -> Result<(), Error> {
        while self.segments.len() > 1 && self.segments[0].last_index <= index {
            let name = segment_name(self.segments[0].sequence);
            self.disk.remove(&name).map_err(|error| Error::io("remove", &name, error))?;
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

fn segment_head(sequence: u64, batch: u64) -> Vec<u8> {
    let mut head = MAGIC.to_vec();
    head.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    head.extend_from_slice(&sequence.to_le_bytes());
    head.extend_from_slice(&batch.to_le_bytes());
    head.extend_from_slice(&crc32c::crc32c(&head).to_le_bytes());
    head
}

//! Reading a data folder after a stop of any kind.

use crate::disk::Disk;
use crate::error::Error;
use crate::frame::{self, Frame, Record};
use crate::log::{
    Entry, FORMAT_VERSION, MAGIC, Recovered, SEGMENT_HEAD, SEGMENT_PREFIX, Segment, segment_name,
};
use crate::snapshot;

/// The state of a folder.
#[derive(Debug, Default)]
pub(crate) struct Found {
    pub(crate) segments: Vec<Segment>,
    pub(crate) active_bytes: u64,
    pub(crate) next_batch: u64,
    pub(crate) recovered: Recovered,
    /// The entries conflict with the snapshot: the stop came between a snapshot from the leader
    /// and the record that voids the older entries.
    pub(crate) reset: bool,
}

/// Reads the folder and cuts the unacknowledged tail.
pub(crate) fn run<D: Disk>(disk: &mut D) -> Result<Found, Error> {
    let names = disk.names().map_err(|error| Error::io("list", ".", error))?;
    let mut found = Found { next_batch: 1, ..Found::default() };
    found.recovered.snapshot = snapshot::load(disk, &names)?;
    let segments: Vec<&String> =
        names.iter().filter(|name| name.starts_with(SEGMENT_PREFIX)).collect();
    let mut entries: Vec<Entry> = Vec::new();
    for (position, name) in segments.iter().enumerate() {
        let last = position + 1 == segments.len();
        read_segment(disk, name, last, &mut found, &mut entries)?;
    }
    join(&mut found, entries)?;
    Ok(found)
}

fn read_segment<D: Disk>(
    disk: &mut D,
    name: &str,
    last: bool,
    found: &mut Found,
    entries: &mut Vec<Entry>,
) -> Result<(), Error> {
    let bytes = disk.read(name).map_err(|error| Error::io("read", name, error))?;
    let (sequence, batch) = match parse_head(name, &bytes) {
        Ok(head) => head,
        // A segment without a whole head is never written to, unless the head decayed later.
        Err(Error::Corrupt { .. }) if last && first_readable(&bytes, 0).is_none() => {
            disk.remove(name).map_err(|error| Error::io("remove", name, error))?;
            disk.sync_folder().map_err(|error| Error::io("sync", ".", error))?;
            found.recovered.cut_bytes += bytes.len() as u64;
            return Ok(());
        }
        Err(error) => return Err(error),
    };
    let expected = found.segments.last().map_or(sequence, |before| before.sequence + 1);
    if sequence != expected || segment_name(sequence) != name {
        let reason = format!("segment {expected} is missing before this one");
        return Err(Error::corrupt(name, 0, reason));
    }
    let last_index = entries.last().map_or(0, |entry| entry.index);
    found.segments.push(Segment { sequence, last_index });
    found.next_batch = batch;
    read_batches(disk, name, &bytes, last, found, entries)
}

/// Applies the complete batches of a segment and cuts an incomplete one at the end of the last.
fn read_batches<D: Disk>(
    disk: &mut D,
    name: &str,
    bytes: &[u8],
    last: bool,
    found: &mut Found,
    entries: &mut Vec<Entry>,
) -> Result<(), Error> {
    let mut offset = SEGMENT_HEAD;
    // A batch counts as a whole or not at all: a part of one that stayed in front of later batches
    // would make the next recovery take those for the rest of it.
    let mut batch: Vec<Frame> = Vec::new();
    let mut batch_start = offset;
    while batch_start < bytes.len() {
        let frame = match frame::decode(&bytes[offset..]) {
            Ok(frame) => frame,
            Err(reason) => {
                let later = first_batch_after(bytes, offset + 1);
                if !last || later.is_some_and(|batch| batch > found.next_batch) {
                    return Err(Error::corrupt(name, offset, reason));
                }
                cut(disk, name, batch_start)?;
                found.recovered.cut_bytes += (bytes.len() - batch_start) as u64;
                break;
            }
        };
        offset += frame.length;
        let complete = frame.remaining == 0;
        let number = frame.batch;
        batch.push(frame);
        if !complete {
            continue;
        }
        for frame in batch.drain(..) {
            apply(name, batch_start, frame, found, entries)?;
        }
        found.next_batch = number + 1;
        batch_start = offset;
    }
    found.active_bytes = batch_start as u64;
    Ok(())
}

fn cut<D: Disk>(disk: &mut D, name: &str, offset: usize) -> Result<(), Error> {
    disk.truncate(name, offset as u64).map_err(|error| Error::io("cut", name, error))?;
    disk.sync(name).map_err(|error| Error::io("sync", name, error))
}

fn apply(
    name: &str,
    offset: usize,
    frame: Frame,
    found: &mut Found,
    entries: &mut Vec<Entry>,
) -> Result<(), Error> {
    match frame.record {
        Record::Meta(meta) => found.recovered.meta = Some(meta),
        Record::Reset => {
            entries.clear();
            for segment in &mut found.segments {
                segment.last_index = 0;
            }
        }
        Record::Entry(entry) => {
            let next = entries.last().map_or(entry.index, |last| last.index + 1);
            if entry.index > next {
                let reason = format!("entry {next} is missing before entry {}", entry.index);
                return Err(Error::corrupt(name, offset, reason));
            }
            if let Some(segment) = found.segments.last_mut() {
                segment.last_index = segment.last_index.max(entry.index);
            }
            let keep = entries.partition_point(|known| known.index < entry.index);
            entries.truncate(keep);
            entries.push(entry);
        }
    }
    Ok(())
}

/// Drops the entries that the snapshot covers and checks that the rest follows it.
fn join(found: &mut Found, mut entries: Vec<Entry>) -> Result<(), Error> {
    let (index, term) = match &found.recovered.snapshot {
        Some(snapshot) => (snapshot.index, snapshot.term),
        None => (0, 0),
    };
    let position = entries.partition_point(|entry| entry.index < index);
    let conflict = match entries.get(position) {
        Some(entry) if entry.index == index => entry.term != term,
        Some(entry) if entry.index > index + 1 => {
            let name = segment_name(found.segments.first().map_or(1, |first| first.sequence));
            let reason = format!("entries {} to {} are missing", index + 1, entry.index - 1);
            return Err(Error::corrupt(&name, 0, reason));
        }
        Some(_) => false,
        None => !entries.is_empty(),
    };
    if conflict {
        found.reset = true;
        return Ok(());
    }
    entries.retain(|entry| entry.index > index);
    found.recovered.entries = entries;
    Ok(())
}

/// Returns the sequence number and the first batch number of a segment.
fn parse_head(name: &str, bytes: &[u8]) -> Result<(u64, u64), Error> {
    let Some(head) = bytes.get(..SEGMENT_HEAD) else {
        return Err(Error::corrupt(name, bytes.len(), "segment head cut short"));
    };
    let version = head[8..12].try_into().map_or(0, u32::from_le_bytes);
    let sequence = head[12..20].try_into().map_or(0, u64::from_le_bytes);
    let batch = head[20..28].try_into().map_or(0, u64::from_le_bytes);
    // The checksum comes first: a power loss can leave any version number in an unsynced head.
    if head[28..] != crc32c::crc32c(&head[..28]).to_le_bytes() || head[..8] != MAGIC {
        return Err(Error::corrupt(name, 0, "bad segment head"));
    }
    if version != FORMAT_VERSION {
        let supported = FORMAT_VERSION;
        return Err(Error::Version { file: name.to_string(), found: version, supported });
    }
    Ok((sequence, batch))
}

fn first_readable(bytes: &[u8], from: usize) -> Option<Frame> {
    (from..bytes.len()).find_map(|offset| frame::decode(&bytes[offset..]).ok())
}

/// Returns the highest batch number that is readable after a damaged record.
fn first_batch_after(bytes: &[u8], from: usize) -> Option<u64> {
    let mut offset = from;
    let mut highest = None;
    while offset < bytes.len() {
        match frame::decode(&bytes[offset..]) {
            Ok(frame) => {
                highest = highest.max(Some(frame.batch));
                offset += frame.length;
            }
            Err(_) => offset += 1,
        }
    }
    highest
}

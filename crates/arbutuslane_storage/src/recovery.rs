//! Recovery of a data folder after a clean stop, a crash or a power loss.

use crate::disk::Disk;
use crate::error::Error;
use crate::frame::{self, Frame, Record};
use crate::log::{
    Entry, FORMAT_VERSION, MAGIC, Recovered, SEGMENT_HEADER_BYTES, SEGMENT_PREFIX, Segment,
    segment_name,
};
use crate::snapshot;

/// The state that recovery reads from a folder.
#[derive(Debug, Default)]
pub(crate) struct RecoveryState {
    pub(crate) segments: Vec<Segment>,
    /// The size of the last segment.
    pub(crate) active_bytes: u64,
    pub(crate) next_batch: u64,
    pub(crate) recovered: Recovered,
    /// Whether the entries conflict with the snapshot. This happens when the replica stopped after
    /// it saved a snapshot from the leader and before it wrote the record that discards the older
    /// entries.
    pub(crate) conflicts_with_snapshot: bool,
    /// Whether the disk is full, so that the unacknowledged tail is still there.
    pub(crate) is_full: bool,
}

/// Reads the folder and truncates the unacknowledged tail.
pub(crate) fn recover<D: Disk>(disk: &mut D) -> Result<RecoveryState, Error> {
    let names = disk.names().map_err(|error| Error::io("list", ".", error))?;
    let mut state = RecoveryState { next_batch: 1, ..RecoveryState::default() };
    state.recovered.snapshot = snapshot::load(disk, &names)?;
    let segments: Vec<&String> =
        names.iter().filter(|name| name.starts_with(SEGMENT_PREFIX)).collect();
    let mut entries: Vec<Entry> = Vec::new();
    for (position, name) in segments.iter().enumerate() {
        let is_last = position + 1 == segments.len();
        read_segment(disk, name, is_last, &mut state, &mut entries)?;
    }
    join_snapshot(&mut state, entries)?;
    sync(disk, &state)?;
    Ok(state)
}

/// Makes durable what was read, because a process that ended without a power loss may have left
/// writes that were never synced.
fn sync<D: Disk>(disk: &mut D, state: &RecoveryState) -> Result<(), Error> {
    if let Some(last) = state.segments.last() {
        let name = segment_name(last.sequence);
        disk.sync(&name).map_err(|error| Error::io("sync", &name, error))?;
    }
    disk.sync_folder().map_err(|error| Error::io("sync", ".", error))
}

/// Reads what is readable of a damaged folder, and changes nothing.
pub(crate) fn salvage<D: Disk>(disk: &D) -> Result<Recovered, Error> {
    let names = disk.names().map_err(|error| Error::io("list", ".", error))?;
    let mut recovered =
        Recovered { snapshot: snapshot::load_readable(disk, &names)?, ..Recovered::default() };
    for name in names.iter().filter(|name| name.starts_with(SEGMENT_PREFIX)) {
        let bytes = disk.read(name).map_err(|error| Error::io("read", name, error))?;
        let mut offset = SEGMENT_HEADER_BYTES;
        while offset < bytes.len() {
            let Ok(frame) = frame::decode(&bytes[offset..]) else {
                offset += 1;
                continue;
            };
            offset += frame.length;
            if let Record::Entry(entry) = frame.record {
                recovered.entries.push(entry);
            }
        }
    }
    Ok(recovered)
}

/// Reads one segment, or removes the last one when its header is incomplete.
fn read_segment<D: Disk>(
    disk: &mut D,
    name: &str,
    is_last: bool,
    state: &mut RecoveryState,
    entries: &mut Vec<Entry>,
) -> Result<(), Error> {
    let bytes = disk.read(name).map_err(|error| Error::io("read", name, error))?;
    let (sequence, batch) = match parse_header(name, &bytes) {
        Ok(header) => header,
        // Records are written only after a complete header. A readable record shows that the
        // header was damaged later, so the segment must not be removed.
        Err(Error::Corrupt { .. }) if is_last && first_readable_frame(&bytes, 0).is_none() => {
            disk.remove(name).map_err(|error| Error::io("remove", name, error))?;
            disk.sync_folder().map_err(|error| Error::io("sync", ".", error))?;
            state.recovered.truncated_bytes += bytes.len() as u64;
            return Ok(());
        }
        Err(error) => return Err(error),
    };
    let expected = state.segments.last().map_or(sequence, |previous| previous.sequence + 1);
    if sequence != expected || segment_name(sequence) != name {
        let reason = format!("segment {expected} is missing before this one");
        return Err(Error::corrupt(name, 0, reason));
    }
    let last_index = entries.last().map_or(0, |entry| entry.index);
    state.segments.push(Segment { sequence, last_index });
    state.next_batch = batch;
    read_batches(disk, name, &bytes, is_last, state, entries)
}

/// Applies the complete batches of a segment, and truncates an incomplete batch at the end of the
/// last segment.
fn read_batches<D: Disk>(
    disk: &mut D,
    name: &str,
    bytes: &[u8],
    is_last: bool,
    state: &mut RecoveryState,
    entries: &mut Vec<Entry>,
) -> Result<(), Error> {
    let mut offset = SEGMENT_HEADER_BYTES;
    // A batch is recovered as a whole or not at all. If a part of it stayed in front of later
    // batches, the next recovery would treat those as the rest of it.
    let mut batch: Vec<Frame> = Vec::new();
    let mut batch_start = offset;
    while batch_start < bytes.len() {
        let frame = match frame::decode(&bytes[offset..]) {
            Ok(frame) => frame,
            Err(reason) => {
                // A later batch is written only after this one was synced and acknowledged.
                let highest_later = highest_batch_after(bytes, offset + 1);
                if !is_last || highest_later.is_some_and(|batch| batch > state.next_batch) {
                    return Err(Error::corrupt(name, offset, reason));
                }
                match truncate(disk, name, batch_start) {
                    Err(error) if error.is_full() => state.is_full = true,
                    result => result?,
                }
                state.recovered.truncated_bytes += (bytes.len() - batch_start) as u64;
                break;
            }
        };
        offset += frame.length;
        let is_complete = frame.remaining == 0;
        let number = frame.batch;
        batch.push(frame);
        if !is_complete {
            continue;
        }
        for frame in batch.drain(..) {
            apply_record(name, batch_start, frame, state, entries)?;
        }
        state.next_batch = number + 1;
        batch_start = offset;
    }
    state.active_bytes = batch_start as u64;
    Ok(())
}

/// Truncates the file to `offset` bytes and syncs it.
fn truncate<D: Disk>(disk: &mut D, name: &str, offset: usize) -> Result<(), Error> {
    disk.truncate(name, offset as u64).map_err(|error| Error::io("truncate", name, error))?;
    disk.sync(name).map_err(|error| Error::io("sync", name, error))
}

/// Applies a record of the batch at `offset` to the state.
fn apply_record(
    name: &str,
    offset: usize,
    frame: Frame,
    state: &mut RecoveryState,
    entries: &mut Vec<Entry>,
) -> Result<(), Error> {
    match frame.record {
        Record::Meta(meta) => state.recovered.meta = Some(meta),
        Record::Reset => {
            entries.clear();
            for segment in &mut state.segments {
                segment.last_index = 0;
            }
        }
        Record::Entry(entry) => {
            let next = entries.last().map_or(entry.index, |last| last.index + 1);
            if entry.index > next {
                let reason = format!("entry {next} is missing before entry {}", entry.index);
                return Err(Error::corrupt(name, offset, reason));
            }
            if let Some(segment) = state.segments.last_mut() {
                segment.last_index = segment.last_index.max(entry.index);
            }
            let kept_length = entries.partition_point(|known| known.index < entry.index);
            entries.truncate(kept_length);
            entries.push(entry);
        }
    }
    Ok(())
}

/// Drops the entries that the snapshot covers, and checks that the rest follow it without a gap.
fn join_snapshot(state: &mut RecoveryState, mut entries: Vec<Entry>) -> Result<(), Error> {
    let (covered_index, covered_term) = match &state.recovered.snapshot {
        Some(snapshot) => (snapshot.index, snapshot.term),
        None => (0, 0),
    };
    let position = entries.partition_point(|entry| entry.index < covered_index);
    let is_conflicting = match entries.get(position) {
        Some(entry) if entry.index == covered_index => entry.term != covered_term,
        Some(entry) if entry.index > covered_index + 1 => {
            let name = segment_name(state.segments.first().map_or(1, |first| first.sequence));
            let reason =
                format!("entries {} to {} are missing", covered_index + 1, entry.index - 1);
            return Err(Error::corrupt(&name, 0, reason));
        }
        Some(_) => false,
        None => !entries.is_empty(),
    };
    if is_conflicting {
        state.conflicts_with_snapshot = true;
        return Ok(());
    }
    entries.retain(|entry| entry.index > covered_index);
    state.recovered.entries = entries;
    Ok(())
}

/// Returns the sequence number and the first batch number of a segment.
fn parse_header(name: &str, bytes: &[u8]) -> Result<(u64, u64), Error> {
    let Some(header) = bytes.get(..SEGMENT_HEADER_BYTES) else {
        return Err(Error::corrupt(name, bytes.len(), "segment header is truncated"));
    };
    let version = header[8..12].try_into().map_or(0, u32::from_le_bytes);
    let sequence = header[12..20].try_into().map_or(0, u64::from_le_bytes);
    let batch = header[20..28].try_into().map_or(0, u64::from_le_bytes);
    // The checksum is verified before the version, since a power loss can leave any version number
    // in an unsynced header.
    if header[28..] != crc32c::crc32c(&header[..28]).to_le_bytes() || header[..8] != MAGIC {
        return Err(Error::corrupt(name, 0, "invalid segment header"));
    }
    if version != FORMAT_VERSION {
        let supported = FORMAT_VERSION;
        return Err(Error::Version { file: name.to_string(), found: version, supported });
    }
    Ok((sequence, batch))
}

/// Returns the first record that is readable at any offset from `from` on.
fn first_readable_frame(bytes: &[u8], from: usize) -> Option<Frame> {
    (from..bytes.len()).find_map(|offset| frame::decode(&bytes[offset..]).ok())
}

/// Returns the highest batch number in the readable records from `from` on.
fn highest_batch_after(bytes: &[u8], from: usize) -> Option<u64> {
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

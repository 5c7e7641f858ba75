//! Snapshot files, which store the state up to an index so that older entries can be removed.

use crate::disk::Disk;
use crate::error::Error;
use crate::frame::split_array;
use crate::log::FORMAT_VERSION;

const MAGIC: [u8; 8] = *b"ARBLSNAP";
const PREFIX: &str = "snapshot-";
const UNFINISHED_NAME: &str = "unfinished-snapshot";

/// The state after all entries up to an index are applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The index of the last entry that is applied.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The encoded state.
    pub payload: Vec<u8>,
}

/// Writes `snapshot` under a temporary name, syncs and renames it, and removes older snapshots.
pub(crate) fn save<D: Disk>(disk: &mut D, snapshot: &Snapshot) -> Result<(), Error> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    let mut body = snapshot.index.to_le_bytes().to_vec();
    body.extend_from_slice(&snapshot.term.to_le_bytes());
    body.extend_from_slice(&snapshot.payload);
    bytes.extend_from_slice(&crc32c::crc32c(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    let name = format!("{PREFIX}{:020}", snapshot.index);
    // A crash may have left a file with the temporary name and any content.
    let names = disk.names().map_err(|error| Error::io("list", ".", error))?;
    if names.iter().any(|name| name == UNFINISHED_NAME) {
        disk.remove(UNFINISHED_NAME)
            .map_err(|error| Error::io("remove", UNFINISHED_NAME, error))?;
    }
    disk.append(UNFINISHED_NAME, &bytes)
        .map_err(|error| Error::io("write", UNFINISHED_NAME, error))?;
    disk.sync(UNFINISHED_NAME).map_err(|error| Error::io("sync", UNFINISHED_NAME, error))?;
    disk.rename(UNFINISHED_NAME, &name).map_err(|error| Error::io("rename", &name, error))?;
    disk.sync_folder().map_err(|error| Error::io("sync", ".", error))?;
    for old in names.iter().filter(|old| old.starts_with(PREFIX) && **old < name) {
        disk.remove(old).map_err(|error| Error::io("remove", old, error))?;
    }
    Ok(())
}

/// Loads the newest snapshot of the folder.
pub(crate) fn load<D: Disk>(disk: &D, names: &[String]) -> Result<Option<Snapshot>, Error> {
    let Some(name) = names.iter().rfind(|name| name.starts_with(PREFIX)) else {
        return Ok(None);
    };
    let bytes = disk.read(name).map_err(|error| Error::io("read", name, error))?;
    parse(name, &bytes).map(Some)
}

/// Loads the newest snapshot of the folder that is readable.
pub(crate) fn load_readable<D: Disk>(
    disk: &D,
    names: &[String],
) -> Result<Option<Snapshot>, Error> {
    for name in names.iter().rev().filter(|name| name.starts_with(PREFIX)) {
        let bytes = disk.read(name).map_err(|error| Error::io("read", name, error))?;
        if let Ok(snapshot) = parse(name, &bytes) {
            return Ok(Some(snapshot));
        }
    }
    Ok(None)
}

fn parse(name: &str, bytes: &[u8]) -> Result<Snapshot, Error> {
    let truncated = || Error::corrupt(name, bytes.len(), "snapshot is truncated");
    let (magic, rest) = split_array::<8>(bytes).ok_or_else(truncated)?;
    if magic != MAGIC {
        return Err(Error::corrupt(name, 0, "file does not start with the snapshot magic"));
    }
    let (version, rest) = split_array::<4>(rest).ok_or_else(truncated)?;
    let found = u32::from_le_bytes(version);
    if found != FORMAT_VERSION {
        return Err(Error::Version { file: name.to_string(), found, supported: FORMAT_VERSION });
    }
    let (checksum, body) = split_array::<4>(rest).ok_or_else(truncated)?;
    if crc32c::crc32c(body) != u32::from_le_bytes(checksum) {
        return Err(Error::corrupt(name, 16, "checksum mismatch"));
    }
    let (index, rest) = split_array::<8>(body).ok_or_else(truncated)?;
    let (term, payload) = split_array::<8>(rest).ok_or_else(truncated)?;
    Ok(Snapshot {
        index: u64::from_le_bytes(index),
        term: u64::from_le_bytes(term),
        payload: payload.to_vec(),
    })
}

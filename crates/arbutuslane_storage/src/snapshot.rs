//! Snapshot files: the state up to an index, so that older entries can be removed.

use crate::disk::Disk;
use crate::error::Error;
use crate::frame::take;
use crate::log::FORMAT_VERSION;

const MAGIC: [u8; 8] = *b"ARBLSNAP";
const PREFIX: &str = "snapshot-";
const UNFINISHED: &str = "unfinished-snapshot";

/// The state after applying every entry up to an index.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// The index of the last entry in the state.
    pub index: u64,
    /// The term of that entry.
    pub term: u64,
    /// The encoded state.
    pub payload: Vec<u8>,
}

/// Writes `snapshot` under a temporary name, syncs it and moves it into place.
pub(crate) fn save<D: Disk>(disk: &mut D, snapshot: &Snapshot) -> Result<(), Error> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
    let mut body = snapshot.index.to_le_bytes().to_vec();
    body.extend_from_slice(&snapshot.term.to_le_bytes());
    body.extend_from_slice(&snapshot.payload);
    bytes.extend_from_slice(&crc32c::crc32c(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    let name = format!("{PREFIX}{:020}", snapshot.index);
    // A crash may have left this name with any content.
    let names = disk.names().map_err(|error| Error::io("list", ".", error))?;
    if names.iter().any(|name| name == UNFINISHED) {
        disk.remove(UNFINISHED).map_err(|error| Error::io("remove", UNFINISHED, error))?;
    }
    disk.append(UNFINISHED, &bytes).map_err(|error| Error::io("write", UNFINISHED, error))?;
    disk.sync(UNFINISHED).map_err(|error| Error::io("sync", UNFINISHED, error))?;
    disk.rename(UNFINISHED, &name).map_err(|error| Error::io("rename", &name, error))?;
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

fn parse(name: &str, bytes: &[u8]) -> Result<Snapshot, Error> {
    let short = || Error::corrupt(name, bytes.len(), "snapshot cut short");
    let (magic, rest) = take::<8>(bytes).ok_or_else(short)?;
    if magic != MAGIC {
        return Err(Error::corrupt(name, 0, "not a snapshot"));
    }
    let (version, rest) = take::<4>(rest).ok_or_else(short)?;
    let found = u32::from_le_bytes(version);
    if found != FORMAT_VERSION {
        return Err(Error::Version { file: name.to_string(), found, supported: FORMAT_VERSION });
    }
    let (sum, body) = take::<4>(rest).ok_or_else(short)?;
    if crc32c::crc32c(body) != u32::from_le_bytes(sum) {
        return Err(Error::corrupt(name, 16, "checksum mismatch"));
    }
    let (index, rest) = take::<8>(body).ok_or_else(short)?;
    let (term, payload) = take::<8>(rest).ok_or_else(short)?;
    Ok(Snapshot {
        index: u64::from_le_bytes(index),
        term: u64::from_le_bytes(term),
        payload: payload.to_vec(),
    })
}

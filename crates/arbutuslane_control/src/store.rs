//! The replica's durable state in the data folder.

use std::path::Path;

use arbutuslane_consensus::prelude as consensus;
use arbutuslane_consensus::prelude::{DurableState, Id, Write};
use arbutuslane_storage::prelude::*;
use arbutuslane_wire::codec;

use crate::border::{self, Body, Content, Meta};

/// The log of this replica, in terms of the consensus types.
pub(crate) struct Store<D> {
    log: Log<D>,
    id: Id,
}

/// Opens the data folder of `name`; an empty folder gets the disk id `new_disk_id`.
pub(crate) fn open<D: Disk>(
    disk: D,
    name: &str,
    new_disk_id: u64,
) -> Result<(Store<D>, DurableState), Error> {
    let (mut log, recovered) = Log::open(disk, log::DEFAULT_SEGMENT_BYTES)?;
    let Some(meta) = recovered.meta else {
        let id = Id { name: name.to_string(), disk_id: new_disk_id };
        log.append(&Batch { meta: Some(encode_meta(&id, 0, None)?), entries: Vec::new() })?;
        return Ok((Store { log, id: id.clone() }, DurableState::empty(id)));
    };
    let meta: Meta = decode("metadata", &meta)?;
    let id = border::id_from_pair(meta.id);
    if id.name != name {
        let reason = format!("it belongs to `{}`, the settings name `{name}`", id.name);
        return Err(Error::Corrupt { file: "data folder".to_string(), offset: 0, reason });
    }
    let mut saved = DurableState {
        id: id.clone(),
        term: meta.term,
        vote: meta.vote.map(border::id_from_pair),
        snapshot: None,
        entries: Vec::new(),
    };
    if let Some(snapshot) = recovered.snapshot {
        let content: Content = decode("snapshot", &snapshot.payload)?;
        saved.snapshot = Some(consensus::Snapshot {
            index: snapshot.index,
            term: snapshot.term,
            members: content.members.into_iter().map(Into::into).collect(),
            payload: content.state,
        });
    }
    for entry in recovered.entries {
        let body: Body = decode("entry", &entry.payload)?;
        let Entry { index, term, .. } = entry;
        saved.entries.push(consensus::Entry { index, term, body: body.into() });
    }
    Ok((Store { log, id }, saved))
}

/// Renames the files of a damaged folder and returns their number.
pub(crate) fn set_aside(folder: &Path) -> Result<usize, Error> {
    Log::set_aside(&mut open_disk(folder)?)
}

pub(crate) fn open_disk(folder: &Path) -> Result<disk::Real, Error> {
    disk::Real::open(folder).map_err(|source| Error::Io {
        operation: "open",
        file: folder.display().to_string(),
        source,
    })
}

impl<D: Disk> Store<D> {
    /// Makes all `writes` durable, with one sync for consecutive votes and entries. A snapshot has
    /// its own file and sync.
    pub(crate) fn write(&mut self, writes: Vec<Write>) -> Result<(), Error> {
        let mut batch = Batch::default();
        for write in writes {
            match write {
                Write::Vote { term, vote } => {
                    batch.meta = Some(encode_meta(&self.id, term, vote.as_ref())?);
                }
                Write::Entries(entries) => {
                    for entry in entries {
                        let payload = encode(&Body::from(entry.body))?;
                        batch.entries.push(Entry { index: entry.index, term: entry.term, payload });
                    }
                }
                Write::Snapshot { snapshot, discard_entries } => {
                    self.log.append(&std::mem::take(&mut batch))?;
                    let members = snapshot.members.into_iter().map(Into::into).collect();
                    let payload = encode(&Content { members, state: snapshot.payload })?;
                    let (index, term) = (snapshot.index, snapshot.term);
                    self.log.save_snapshot(&Snapshot { index, term, payload }, discard_entries)?;
                }
            }
        }
        self.log.append(&batch)
    }
}

fn encode_meta(id: &Id, term: u64, vote: Option<&Id>) -> Result<Vec<u8>, Error> {
    encode(&Meta { id: border::id_to_pair(id), term, vote: vote.map(border::id_to_pair) })
}

fn encode<T: serde::Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    codec::encode(value).map_err(|error| codec_error("write", &error))
}

fn decode<T: serde::de::DeserializeOwned>(part: &str, bytes: &[u8]) -> Result<T, Error> {
    codec::decode(bytes).map_err(|error| codec_error(part, &error))
}

fn codec_error(part: &str, error: &codec::Error) -> Error {
    Error::Corrupt { file: part.to_string(), offset: 0, reason: error.to_string() }
}

//! Writes states of the catalogue and promises to the log and the snapshots of a data folder, and goes
//! on after a fault.

use arbutuslane_event::clock::wall_ms;
use arbutuslane_item::border::agreement;
use arbutuslane_item::prelude::{Ballot, Position, State, Table, Update};
use arbutuslane_item::replication::{self, Standing};
use arbutuslane_item::voter::{DiskId, UNKNOWN_DISK};
use arbutuslane_storage::prelude::*;
use arbutuslane_wire::codec;
use serde::{Deserialize, Serialize};

use payload::{Mark, States, codec_error, encode, mismatch, read_items, read_states};

mod payload;
#[cfg(test)]
mod tests;

/// The number of log entries after which a snapshot replaces the log; bounds the restart time.
const ENTRIES_BEFORE_SNAPSHOT: u64 = 4_096;

/// A place for the log, which can be opened again after a fault.
pub(super) trait Folder {
    /// The file operations of the folder.
    type Disk: Disk;

    /// Opens the folder.
    ///
    /// # Errors
    ///
    /// See [`Error`].
    fn open(&self) -> Result<Self::Disk, Error>;
}

/// The state read from the data folder at the start.
#[derive(Debug)]
pub(super) struct Recovered {
    pub(super) replication: replication::Recovered,
    /// Why the files of the log were set aside.
    pub(super) damage: Option<String>,
    /// Whether the folder was empty although this was not the first start of the fleet.
    pub(super) is_emptied: bool,
}

/// The metadata stored beside the items.
#[derive(Debug, Serialize, Deserialize)]
struct Meta {
    /// Whether the disk has kept everything since the first start of the fleet.
    complete: bool,
    /// The highest ballot that the instance promised to follow; earlier releases have none.
    #[serde(default)]
    promised: agreement::Ballot,
    /// The time at which the disk was first used; earlier releases have none.
    #[serde(default)]
    disk: DiskId,
}

/// What has to become durable together.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// The entries, in their order.
    pub(super) entries: Vec<Entry>,
    /// A ballot that the instance promises to follow.
    pub(super) promised: Option<Ballot>,
}

/// An entry of the log.
#[derive(Debug)]
pub(super) enum Entry {
    /// An update to the state before it.
    Update(Update),
    /// The state before it is accepted, if it is the one at this position.
    Accepted(Position),
}

impl Record {
    /// Returns the record that the state at `position` is accepted.
    pub(super) fn accepted(position: Position) -> Self {
        Self { entries: vec![Entry::Accepted(position)], ..Self::default() }
    }
}

/// Writes states to a folder.
///
/// After a fault, such as a full disk, nothing is durable until [`reopen`](Writer::reopen) succeeds.
/// It then writes all that was passed to [`write`](Writer::write) since the start.
#[derive(Debug)]
pub(super) struct Writer<F: Folder> {
    folder: F,
    /// `None` after a fault, until the log is reopened.
    log: Option<Log<F::Disk>>,
    states: States,
    promised: Ballot,
    next_index: u64,
    entries_since_snapshot: u64,
    complete: bool,
    disk: DiskId,
}

impl<F: Folder> Writer<F> {
    /// Opens the folder and reads its items. With `first_start`, an empty folder counts as complete,
    /// because it cannot have lost any items.
    ///
    /// The files of a damaged log are set aside. What is readable of it is kept, and the rest counts
    /// as lost with the disk, so that the instance recovers it from the others.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be read. A full disk is no error: the items on it are
    /// served until it takes writes again.
    pub(super) fn open(folder: F, first_start: bool) -> Result<(Self, Recovered), Error> {
        match Log::open(folder.open()?, log::DEFAULT_SEGMENT_BYTES) {
            Ok((log, recovered)) => match read_states(&recovered) {
                Ok(states) => Self::with_log(folder, log, &recovered, states, first_start),
                Err(error) => {
                    drop(log);
                    Self::salvage(folder, error.to_string())
                }
            },
            Err(error @ Error::Corrupt { .. }) => Self::salvage(folder, error.to_string()),
            Err(error) => Err(error),
        }
    }

    /// Sets the files of a damaged log aside, and writes what is readable of it to a new one.
    fn salvage(folder: F, damage: String) -> Result<(Self, Recovered), Error> {
        let mut disk = folder.open()?;
        let readable = Log::salvage(&disk)?;
        Log::set_aside(&mut disk)?;
        let (log, empty) = Log::open(disk, log::DEFAULT_SEGMENT_BYTES)?;
        let (mut writer, mut recovered) =
            Self::with_log(folder, log, &empty, States::default(), false)?;
        // With an entry missing, the items belong to no position.
        writer.states.stored = State { table: read_items(&readable)?, ..State::default() };
        if writer.log.is_some() {
            writer.save_snapshot()?;
        }
        recovered.replication.state = writer.states.stored.clone();
        recovered.damage = Some(damage);
        Ok((writer, recovered))
    }

    fn with_log(
        folder: F,
        log: Log<F::Disk>,
        recovered: &log::Recovered,
        states: States,
        first_start: bool,
    ) -> Result<(Self, Recovered), Error> {
        tracing::info!(
            event = "log-opened",
            entries = recovered.entries.len(),
            snapshot_index = recovered.snapshot.as_ref().map(|snapshot| snapshot.index),
            truncated_bytes = recovered.truncated_bytes
        );
        let next_index = recovered.entries.last().map_or(0, |entry| entry.index);
        let next_index =
            next_index.max(recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)) + 1;
        let is_new = recovered.meta.is_none() && recovered.entries.is_empty();
        let meta: Option<Meta> = match &recovered.meta {
            Some(bytes) => Some(codec::decode(bytes).map_err(|error| codec_error(&error))?),
            None => None,
        };
        let complete = meta.as_ref().is_some_and(|meta| meta.complete) || (is_new && first_start);
        let known_disk = meta.as_ref().map_or(UNKNOWN_DISK, |meta| meta.disk);
        let disk = if known_disk == UNKNOWN_DISK { wall_ms() } else { known_disk };
        let promised: Ballot = meta.map(|meta| meta.promised.into()).unwrap_or_default();
        let standing = match complete {
            true => Standing::Complete,
            false => Standing::Recovering,
        };
        let replication = replication::Recovered {
            standing,
            promised: promised.clone(),
            state: states.stored.clone(),
            accepted: states.accepted.clone(),
            disk,
        };
        let mut writer = Self {
            folder,
            log: Some(log),
            states,
            promised,
            next_index,
            entries_since_snapshot: 0,
            complete,
            disk,
        };
        match writer.write_meta() {
            Err(error) if error.is_full() || matches!(error, Error::Stopped) => writer.log = None,
            result => result?,
        }
        let is_emptied = is_new && !first_start;
        Ok((writer, Recovered { replication, damage: None, is_emptied }))
    }

    /// Returns whether the last write succeeded, or the log has been reopened since.
    pub(super) fn is_writable(&self) -> bool {
        self.log.is_some()
    }

    /// Returns the number of items that are or will be written.
    pub(super) fn item_count(&self) -> u64 {
        self.states.stored.table.len() as u64
    }

    /// Makes `record` durable.
    ///
    /// # Errors
    ///
    /// After an error the record may be on the disk or not, and nothing is written before
    /// [`reopen`](Writer::reopen).
    pub(super) fn write(&mut self, record: &Record) -> Result<(), Error> {
        for entry in &record.entries {
            if !self.states.apply(entry) {
                return Err(mismatch(entry));
            }
        }
        let is_promise = record.promised.as_ref().is_some_and(|ballot| *ballot > self.promised);
        if let Some(ballot) = record.promised.as_ref().filter(|_| is_promise) {
            self.promised = ballot.clone();
        }
        let result = self.append(&record.entries, is_promise);
        if result.is_err() {
            self.log = None;
        }
        result
    }

    /// Opens the log again after a fault and writes everything, because the content of the disk
    /// after the fault is unknown.
    pub(super) fn reopen(&mut self) {
        self.log = None;
        let opened = self.folder.open();
        let opened = opened.and_then(|disk| Log::open(disk, log::DEFAULT_SEGMENT_BYTES));
        let Ok((log, _)) = opened else { return };
        self.log = Some(log);
        if self.write_meta().and_then(|()| self.save_snapshot()).is_err() {
            self.log = None;
        }
    }

    fn append(&mut self, entries: &[Entry], with_meta: bool) -> Result<(), Error> {
        let meta = with_meta.then(|| self.meta()).transpose()?;
        let Some(log) = &mut self.log else { return Err(Error::Stopped) };
        if meta.is_none() && entries.is_empty() {
            return Ok(());
        }
        let mut batch = Batch { meta, entries: Vec::new() };
        for (index, entry) in (self.next_index..).zip(entries) {
            let payload = match entry {
                Entry::Update(update) => encode(&agreement::Update::from(update))?,
                Entry::Accepted(position) => {
                    encode(&Mark::Accepted(agreement::Position::from(position)))?
                }
            };
            batch.entries.push(log::Entry { index, term: 1, payload });
        }
        log.append(&batch)?;
        // The index of an entry that was not written is used again. A gap would make the log corrupt
        // if a power loss brings segments back that a later snapshot had replaced.
        let entries = batch.entries.len() as u64;
        self.next_index += entries;
        self.entries_since_snapshot += entries;
        if self.entries_since_snapshot >= ENTRIES_BEFORE_SNAPSHOT {
            self.save_snapshot()?;
        }
        Ok(())
    }

    fn write_meta(&mut self) -> Result<(), Error> {
        let meta = self.meta()?;
        let Some(log) = &mut self.log else { return Err(Error::Stopped) };
        log.append(&Batch { meta: Some(meta), entries: Vec::new() })
    }

    fn meta(&self) -> Result<Vec<u8>, Error> {
        let promised = agreement::Ballot::from(&self.promised);
        encode(&Meta { complete: self.complete, promised, disk: self.disk })
    }

    fn save_snapshot(&mut self) -> Result<(), Error> {
        let States { stored, accepted } = &self.states;
        let whole = stored.update_for(Table::default().buckets());
        let whole = agreement::Update::from(&whole);
        let payload = match accepted {
            None => encode(&whole)?,
            Some(accepted) => {
                let accepted = accepted.update_for(stored.table.buckets());
                let accepted = agreement::Update::from(&accepted);
                encode(&Mark::Snapshot { stored: Box::new(whole), accepted: Box::new(accepted) })?
            }
        };
        let Some(log) = &mut self.log else { return Err(Error::Stopped) };
        log.save_snapshot(&Snapshot { index: self.next_index - 1, term: 1, payload }, false)?;
        self.entries_since_snapshot = 0;
        Ok(())
    }
}

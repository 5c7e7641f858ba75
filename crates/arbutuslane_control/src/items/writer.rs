//! Writes items to the log and the snapshots of a data folder, and goes on after a fault.

use std::sync::Arc;

use arbutuslane_item::prelude::{Item, Table};
use arbutuslane_item::{border, replication::Standing};
use arbutuslane_storage::prelude::*;
use arbutuslane_wire::codec;
use serde::{Deserialize, Serialize};

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
    pub(super) items: Vec<Arc<Item>>,
    pub(super) standing: Standing,
    /// Why the files of the log were set aside.
    pub(super) damage: Option<String>,
}

/// The metadata stored beside the items.
#[derive(Debug, Serialize, Deserialize)]
struct Meta {
    /// Whether the instance holds every change accepted before it started.
    complete: bool,
}

/// Writes items to a folder.
///
/// After a fault, such as a full disk, nothing is durable until [`reopen`](Writer::reopen) succeeds.
/// It then writes all items that were passed to [`write`](Writer::write) since the start.
#[derive(Debug)]
pub(super) struct Writer<F: Folder> {
    folder: F,
    /// `None` after a fault, until the log is reopened.
    log: Option<Log<F::Disk>>,
    table: Table,
    next_index: u64,
    entries_since_snapshot: u64,
    complete: bool,
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
            Ok((log, recovered)) => Self::with_log(folder, log, &recovered, first_start),
            Err(Error::Corrupt { file, offset, reason }) => {
                let damage = Error::Corrupt { file, offset, reason }.to_string();
                Self::salvage(folder, damage)
            }
            Err(error) => Err(error),
        }
    }

    /// Sets the files of a damaged log aside, and writes what is readable of it to a new one.
    fn salvage(folder: F, damage: String) -> Result<(Self, Recovered), Error> {
        let mut disk = folder.open()?;
        let readable = Log::salvage(&disk)?;
        Log::set_aside(&mut disk)?;
        let (log, empty) = Log::open(disk, log::DEFAULT_SEGMENT_BYTES)?;
        let (mut writer, mut recovered) = Self::with_log(folder, log, &empty, false)?;
        writer.table = read_items(&readable)?;
        if writer.log.is_some() {
            writer.save_snapshot()?;
        }
        recovered.items = writer.table.items().cloned().collect();
        recovered.damage = Some(damage);
        Ok((writer, recovered))
    }

    fn with_log(
        folder: F,
        log: Log<F::Disk>,
        recovered: &log::Recovered,
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
        let table = read_items(recovered)?;
        let complete = meta.is_some_and(|meta| meta.complete) || (is_new && first_start);
        let items = table.items().cloned().collect();
        let mut writer =
            Self { folder, log: Some(log), table, next_index, entries_since_snapshot: 0, complete };
        match writer.write_meta() {
            Err(error) if error.is_full() || matches!(error, Error::Stopped) => writer.log = None,
            result => result?,
        }
        let standing = match complete {
            true => Standing::Complete,
            false => Standing::Recovering { sources: Vec::new() },
        };
        Ok((writer, Recovered { items, standing, damage: None }))
    }

    /// Returns whether the last write succeeded, or the log has been reopened since.
    pub(super) fn is_writable(&self) -> bool {
        self.log.is_some()
    }

    /// Returns the number of items that are or will be written.
    pub(super) fn item_count(&self) -> u64 {
        self.table.len() as u64
    }

    /// Makes `items` durable and, with `becomes_complete`, that this instance holds every accepted
    /// change.
    ///
    /// # Errors
    ///
    /// After an error the items may be on the disk or not, and nothing is written before
    /// [`reopen`](Writer::reopen).
    pub(super) fn write(
        &mut self,
        items: &[Arc<Item>],
        becomes_complete: bool,
    ) -> Result<(), Error> {
        self.table.merge_accepted(items.to_vec());
        let becomes_complete = !self.complete && becomes_complete;
        self.complete |= becomes_complete;
        let result = self.append(items, becomes_complete);
        if result.is_err() {
            self.log = None;
        }
        result
    }

    /// Opens the log again after a fault and writes all items, because the content of the disk
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

    fn append(&mut self, items: &[Arc<Item>], becomes_complete: bool) -> Result<(), Error> {
        let Some(log) = &mut self.log else { return Err(Error::Stopped) };
        let mut batch = Batch::default();
        if becomes_complete {
            batch.meta = Some(encode(&Meta { complete: true })?);
        }
        if !items.is_empty() {
            let payload = encode(&border::encode(items))?;
            batch.entries.push(Entry { index: self.next_index, term: 1, payload });
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
        let meta = encode(&Meta { complete: self.complete })?;
        let Some(log) = &mut self.log else { return Err(Error::Stopped) };
        log.append(&Batch { meta: Some(meta), entries: Vec::new() })
    }

    fn save_snapshot(&mut self) -> Result<(), Error> {
        let payload = encode(&border::encode(self.table.items()))?;
        let Some(log) = &mut self.log else { return Err(Error::Stopped) };
        log.save_snapshot(&Snapshot { index: self.next_index - 1, term: 1, payload }, false)?;
        self.entries_since_snapshot = 0;
        Ok(())
    }
}

/// Returns the items that were read from a log.
fn read_items(recovered: &log::Recovered) -> Result<Table, Error> {
    let snapshot = recovered.snapshot.iter().map(|snapshot| &snapshot.payload);
    let entries = recovered.entries.iter().map(|entry| &entry.payload);
    let mut table = Table::default();
    for payload in snapshot.chain(entries) {
        // When two declarations have the same version, the accepted one is written last and so wins.
        for item in decode(payload)? {
            table.merge_accepted(vec![item]);
        }
    }
    Ok(table)
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    codec::encode(value).map_err(|error| codec_error(&error))
}

fn decode(bytes: &[u8]) -> Result<Vec<Arc<Item>>, Error> {
    codec::decode(bytes).map(border::decode).map_err(|error| codec_error(&error))
}

fn codec_error(error: &codec::Error) -> Error {
    Error::Corrupt { file: "items".to_string(), offset: 0, reason: error.to_string() }
}

#[cfg(test)]
mod tests {
    use arbutuslane_core::rng;
    use arbutuslane_item::prelude::{Key, Source};
    use rand::RngExt;

    use super::*;

    impl Folder for disk::Fake {
        type Disk = Self;

        fn open(&self) -> Result<Self, Error> {
            Ok(self.clone())
        }
    }

    fn item(route: u32, version: u64) -> Arc<Item> {
        let removal = Item::removal(Key::Route(format!("r{route}")), version);
        Arc::new(Item { source: Source::Text("{}".to_string()), ..removal })
    }

    /// Guards against an instance that ends at each start because its log is damaged, against one that
    /// then counts as holding all items, and against a loss of the items that are still readable.
    #[test]
    fn open_damaged() {
        let disk = disk::Fake::new(3);
        let (mut writer, _) = Writer::open(disk.clone(), true).unwrap();
        for version in 1..=20 {
            let number = u32::try_from(version).unwrap();
            writer.write(&[item(number, version)], false).unwrap();
        }
        drop(writer);
        let name = disk.names().unwrap().pop().unwrap();
        let middle = disk.read(&name).unwrap().len() / 2;
        disk.flip(&name, middle);
        for start in 0..2 {
            let (_, recovered) = Writer::open(disk.clone(), false).unwrap();
            assert!(matches!(recovered.standing, Standing::Recovering { .. }), "start {start}");
            assert_eq!(recovered.items.len(), 19, "start {start}");
            assert_eq!(recovered.damage.is_some(), start == 0);
            disk.crash();
        }
        assert!(disk.names().unwrap().contains(&format!("damaged-{name}")));
    }

    /// Guards against an item that was reported as durable on a disk that was full at any moment
    /// and is missing after a power loss, against an instance that cannot start on a full disk, and
    /// against one that writes nothing once there is room again.
    #[test]
    fn write_full_disk() {
        for seed in 0..300 {
            let mut rng = rng::seeded(seed);
            let disk = disk::Fake::new(seed);
            let (mut writer, _) = Writer::open(disk.clone(), true).unwrap();
            let mut durable = Table::default();
            for version in 1..60 {
                match rng.random_range(0..10) {
                    0 => disk.set_full(true),
                    1 => disk.set_full(false),
                    2 => writer.reopen(),
                    3 => {
                        drop(writer);
                        disk.crash();
                        let (restarted, recovered) = Writer::open(disk.clone(), false)
                            .unwrap_or_else(|error| panic!("seed {seed}: {error:?}"));
                        writer = restarted;
                        assert!(matches!(recovered.standing, Standing::Complete), "seed {seed}");
                        for known in durable.items() {
                            let found = recovered.items.iter().find(|item| item.key == known.key);
                            let version = found.map_or(0, |item| item.version);
                            assert!(version >= known.version, "seed {seed}: {known:?} is lost");
                        }
                    }
                    _ => {
                        let item = item(rng.random_range(0..8), version);
                        if writer.write(std::slice::from_ref(&item), false).is_ok() {
                            durable.merge_accepted(vec![item]);
                        }
                    }
                }
            }
            disk.set_full(false);
            writer.reopen();
            assert!(writer.is_writable(), "seed {seed}");
            assert!(writer.write(&[item(9, 60)], false).is_ok(), "seed {seed}");
        }
    }
}

//! Writes states of the catalogue and promises to the log and the snapshots of a data folder, and goes
//! on after a fault.

use std::sync::Arc;

use arbutuslane_item::border::{self, agreement};
use arbutuslane_item::prelude::{Ballot, Item, Position, State, Table, Update};
use arbutuslane_item::replication::{self, Standing};
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
    pub(super) replication: replication::Recovered,
    /// Why the files of the log were set aside.
    pub(super) damage: Option<String>,
}

/// The metadata stored beside the items.
#[derive(Debug, Serialize, Deserialize)]
struct Meta {
    /// Whether the disk has kept what the instance promised and stored.
    complete: bool,
    /// The highest ballot that the instance promised to follow; earlier releases have none.
    #[serde(default)]
    promised: agreement::Ballot,
}

/// What has to become durable together.
#[derive(Debug, Default)]
pub(super) struct Record {
    /// The updates to apply, in their order.
    pub(super) updates: Vec<Update>,
    /// A ballot that the instance promises to follow.
    pub(super) promised: Option<Ballot>,
    /// Whether the disk has what the instance needs to count for quorums.
    pub(super) complete: bool,
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
    state: State,
    promised: Ballot,
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
        // With an entry missing, the items belong to no position.
        writer.state = State { position: Position::default(), table: read_items(&readable)? };
        if writer.log.is_some() {
            writer.save_snapshot()?;
        }
        recovered.replication.state = writer.state.clone();
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
        let state = read_state(recovered)?;
        let complete = meta.as_ref().is_some_and(|meta| meta.complete) || (is_new && first_start);
        let promised: Ballot = meta.map(|meta| meta.promised.into()).unwrap_or_default();
        let standing = match complete {
            true => Standing::Complete,
            false => Standing::Recovering,
        };
        let replication =
            replication::Recovered { standing, promised: promised.clone(), state: state.clone() };
        let mut writer = Self {
            folder,
            log: Some(log),
            state,
            promised,
            next_index,
            entries_since_snapshot: 0,
            complete,
        };
        match writer.write_meta() {
            Err(error) if error.is_full() || matches!(error, Error::Stopped) => writer.log = None,
            result => result?,
        }
        Ok((writer, Recovered { replication, damage: None }))
    }

    /// Returns whether the last write succeeded, or the log has been reopened since.
    pub(super) fn is_writable(&self) -> bool {
        self.log.is_some()
    }

    /// Returns the number of items that are or will be written.
    pub(super) fn item_count(&self) -> u64 {
        self.state.table.len() as u64
    }

    /// Makes `record` durable.
    ///
    /// # Errors
    ///
    /// After an error the record may be on the disk or not, and nothing is written before
    /// [`reopen`](Writer::reopen).
    pub(super) fn write(&mut self, record: &Record) -> Result<(), Error> {
        for update in &record.updates {
            if !self.state.apply(update) {
                return Err(mismatch(update));
            }
        }
        let is_promise = record.promised.as_ref().is_some_and(|ballot| *ballot > self.promised);
        if let Some(ballot) = record.promised.as_ref().filter(|_| is_promise) {
            self.promised = ballot.clone();
        }
        let becomes_complete = !self.complete && record.complete;
        self.complete |= becomes_complete;
        let result = self.append(&record.updates, becomes_complete || is_promise);
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

    fn append(&mut self, updates: &[Update], with_meta: bool) -> Result<(), Error> {
        let meta = with_meta.then(|| self.meta()).transpose()?;
        let Some(log) = &mut self.log else { return Err(Error::Stopped) };
        if meta.is_none() && updates.is_empty() {
            return Ok(());
        }
        let mut batch = Batch { meta, entries: Vec::new() };
        for (index, update) in (self.next_index..).zip(updates) {
            let payload = encode(&agreement::Update::from(update))?;
            batch.entries.push(Entry { index, term: 1, payload });
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
        encode(&Meta { complete: self.complete, promised })
    }

    fn save_snapshot(&mut self) -> Result<(), Error> {
        let whole = self.state.update_for(Table::default().buckets());
        let payload = encode(&agreement::Update::from(&whole))?;
        let Some(log) = &mut self.log else { return Err(Error::Stopped) };
        log.save_snapshot(&Snapshot { index: self.next_index - 1, term: 1, payload }, false)?;
        self.entries_since_snapshot = 0;
        Ok(())
    }
}

/// The payload of a log entry or a snapshot.
enum Payload {
    /// An update to the state before it.
    Update(Update),
    /// Items that an earlier release wrote, which belong to no position.
    Items(Vec<Arc<Item>>),
}

/// Returns the state that the updates in a log lead to.
fn read_state(recovered: &log::Recovered) -> Result<State, Error> {
    let mut state = State::default();
    for payload in payloads(recovered) {
        match decode(payload)? {
            // A snapshot that was written after a fault may contain the entry after it.
            Payload::Update(update) if includes(&state, &update) || state.apply(&update) => {}
            Payload::Update(update) => return Err(mismatch(&update)),
            // When two declarations have the same version, the accepted one is written last.
            Payload::Items(items) => drop(state.table.merge_accepted(items)),
        }
    }
    Ok(state)
}

fn includes(state: &State, update: &Update) -> bool {
    update.position < state.position
        || (update.position == state.position && update.digest == state.table.digest())
}

/// Returns the items of a log with missing entries.
fn read_items(recovered: &log::Recovered) -> Result<Table, Error> {
    let mut table = Table::default();
    for payload in payloads(recovered) {
        let items = match decode(payload)? {
            Payload::Update(update) => update.items,
            Payload::Items(items) => items,
        };
        table.merge_accepted(items);
    }
    Ok(table)
}

fn payloads(recovered: &log::Recovered) -> impl Iterator<Item = &Vec<u8>> {
    let snapshot = recovered.snapshot.iter().map(|snapshot| &snapshot.payload);
    snapshot.chain(recovered.entries.iter().map(|entry| &entry.payload))
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    codec::encode(value).map_err(|error| codec_error(&error))
}

fn decode(bytes: &[u8]) -> Result<Payload, Error> {
    if let Ok(update) = codec::decode::<agreement::Update>(bytes) {
        return Ok(Payload::Update(update.into()));
    }
    let items = codec::decode(bytes).map_err(|error| codec_error(&error))?;
    Ok(Payload::Items(border::decode(items)))
}

fn mismatch(update: &Update) -> Error {
    let reason = format!("the update to {:?} does not follow the state", update.position);
    Error::Corrupt { file: "items".to_string(), offset: 0, reason }
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

    /// Returns the next update of the writer's state, which sets `item`.
    fn record<F: Folder>(writer: &Writer<F>, item: &Arc<Item>) -> Record {
        let mut state = writer.state.clone();
        state.position.change += 1;
        state.table.set_all(vec![Arc::clone(item)]);
        let update = Update {
            position: state.position,
            replaced: Vec::new(),
            items: vec![Arc::clone(item)],
            digest: state.table.digest(),
        };
        Record { updates: vec![update], ..Record::default() }
    }

    /// Guards against an instance that ends at each start because its log is damaged, against one that
    /// then counts as holding all items, and against a loss of the items that are still readable.
    #[test]
    fn open_damaged() {
        let disk = disk::Fake::new(3);
        let (mut writer, _) = Writer::open(disk.clone(), true).unwrap();
        for version in 1..=20 {
            let number = u32::try_from(version).unwrap();
            writer.write(&record(&writer, &item(number, version))).unwrap();
        }
        drop(writer);
        let name = disk.names().unwrap().pop().unwrap();
        let middle = disk.read(&name).unwrap().len() / 2;
        disk.flip(&name, middle);
        for start in 0..2 {
            let (_, recovered) = Writer::open(disk.clone(), false).unwrap();
            assert_eq!(recovered.replication.standing, Standing::Recovering, "start {start}");
            assert_eq!(recovered.replication.state.table.len(), 19, "start {start}");
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
                        let recovered = recovered.replication;
                        assert_eq!(recovered.standing, Standing::Complete, "seed {seed}");
                        for known in durable.items() {
                            let found = recovered.state.table.get(&known.key);
                            let version = found.map_or(0, |item| item.version);
                            assert!(version >= known.version, "seed {seed}: {known:?} is lost");
                        }
                    }
                    _ => {
                        let item = item(rng.random_range(0..8), version);
                        if writer.write(&record(&writer, &item)).is_ok() {
                            durable.merge_accepted(vec![item]);
                        }
                    }
                }
            }
            disk.set_full(false);
            writer.reopen();
            assert!(writer.is_writable(), "seed {seed}");
            assert!(writer.write(&record(&writer, &item(9, 60))).is_ok(), "seed {seed}");
        }
    }
}

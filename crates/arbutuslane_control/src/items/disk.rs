//! Persists states and promises in the data folder, on a thread of its own.

use std::future::Future;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use arbutuslane_event::kind::Kind;
use arbutuslane_storage::prelude::*;

use crate::store::open_disk;

use super::core::Events;
use super::disk_thread::{self, Handle, Target};
use super::writer::{Folder, Record, Recovered, Writer};

/// Sends write requests to the disk thread.
#[derive(Clone)]
pub(super) struct DiskHandle {
    thread: Handle<Record>,
    is_writable: Arc<AtomicBool>,
}

/// The writer on the disk thread, which records when the disk fails and when it takes writes again.
struct Watched {
    writer: Writer<DataFolder>,
    events: Events,
    is_writable: Arc<AtomicBool>,
}

impl DiskHandle {
    /// Returns whether the disk takes writes.
    pub(super) fn is_writable(&self) -> bool {
        self.is_writable.load(Ordering::Relaxed)
    }

    /// Queues a record after those queued before it. The future returns whether it and all records
    /// before it are durable.
    pub(super) fn write(&self, record: Record) -> impl Future<Output = bool> + use<> {
        self.thread.write(record)
    }

    /// Queues a record that need not be durable at once: it shares the sync of the next one, or gets its
    /// own within a second.
    pub(super) fn write_later(&self, record: Record) {
        self.thread.write_later(record);
    }
}

/// Opens the folder and starts the disk thread. With `first_start`, an empty disk counts as
/// complete, because it cannot have lost any items.
pub(super) fn start(
    folder: PathBuf,
    first_start: bool,
    events: Events,
) -> Result<(DiskHandle, Recovered), Error> {
    let folder = DataFolder(folder);
    let (writer, recovered) = Writer::open(folder, first_start)?;
    if let Some(damage) = &recovered.damage {
        let items = recovered.replication.state.table.len();
        events.record(Kind::DiskFault {
            detail: format!("{damage}; {items} items were readable, the others are fetched"),
        });
    }
    let is_writable = Arc::new(AtomicBool::new(writer.is_writable()));
    let watched = Watched { writer, events, is_writable: Arc::clone(&is_writable) };
    Ok((DiskHandle { thread: disk_thread::start(watched), is_writable }, recovered))
}

impl Target for Watched {
    type Record = Record;

    fn is_writable(&self) -> bool {
        self.writer.is_writable()
    }

    fn reopen(&mut self) {
        self.writer.reopen();
    }

    fn write(&mut self, records: Vec<Record>) -> bool {
        let is_durable = records.is_empty() || self.write_all(records);
        if self.writer.is_writable() && !self.is_writable.swap(true, Ordering::Relaxed) {
            self.events.record(Kind::DiskRegained { items: self.writer.item_count() });
        }
        if !self.writer.is_writable() {
            self.is_writable.store(false, Ordering::Relaxed);
        }
        is_durable
    }
}

impl Watched {
    /// Writes records; returns whether they are durable. Records the first failure after a time without
    /// one.
    fn write_all(&mut self, records: Vec<Record>) -> bool {
        let was_writable = self.writer.is_writable();
        let mut all = Record::default();
        for mut record in records {
            all.entries.append(&mut record.entries);
            all.promised = all.promised.max(record.promised);
        }
        let Err(error) = self.writer.write(&all) else { return true };
        if was_writable {
            self.events.record(Kind::DiskFault { detail: error.to_string() });
        }
        false
    }
}

/// A folder of a log in the file system.
#[derive(Debug)]
pub(super) struct DataFolder(pub(super) PathBuf);

impl Folder for DataFolder {
    type Disk = disk::Real;

    fn open(&self) -> Result<disk::Real, Error> {
        open_disk(&self.0)
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;
    use std::time::Duration;

    use arbutuslane_item::prelude::{
        Ballot, Electorate, Item, Key, Position, Source, State, Update,
    };

    use super::super::writer::Entry;
    use super::*;

    /// Guards against the loss of an accepted item in a restart when a declaration that was stored
    /// before it under the same version has the larger hash, and against the loss of a promise.
    #[ntex::test]
    async fn start_same_version() {
        let item = |service: &str| {
            let source = Source::Text(format!(r#"{{"service":"{service}"}}"#));
            Arc::new(Item { source, ..Item::removal(Key::Route("r".to_string()), 3) })
        };
        let (first, accepted) = match item("x").hash() > item("y").hash() {
            true => (item("x"), item("y")),
            false => (item("y"), item("x")),
        };
        let update = |round: u64, item: &Arc<Item>| {
            let ballot = Ballot { round, instance: "c".to_string(), incarnation: 1 };
            let mut state = State { position: Position { ballot, change: 1 }, ..State::default() };
            state.table.set_all(vec![Arc::clone(item)]);
            let digest = state.table.digest();
            let items = vec![Arc::clone(item)];
            let replaced = Vec::new();
            Update {
                position: state.position,
                replaced,
                items,
                digest,
                electorate: Electorate::default(),
            }
        };
        let updates = |round: u64, item: &Arc<Item>| Record {
            entries: vec![Entry::Update(update(round, item))],
            ..Record::default()
        };
        let promised = Ballot { round: 7, instance: "d".to_string(), incarnation: 2 };
        let name = format!("arbutuslane-disk-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let _ = std::fs::remove_dir_all(&folder);
        let events = || Events::new(arbutuslane_event::buffer::Buffer::new("c", 16));
        let (disk, _) = start(folder.clone(), true, events()).unwrap();
        assert!(disk.write(updates(1, &first)).await);
        assert!(disk.write(updates(2, &accepted)).await);
        let promise = Record { promised: Some(promised.clone()), ..Record::default() };
        assert!(disk.write(promise).await);
        drop(disk);
        // The thread releases the folder once the last handle is dropped.
        let mut opened = start(folder.clone(), false, events());
        for _ in 0..200 {
            if opened.is_ok() {
                break;
            }
            ntex::time::sleep(Duration::from_millis(10)).await;
            opened = start(folder.clone(), false, events());
        }
        let recovered = opened.unwrap().1.replication;
        let items: Vec<Arc<Item>> = recovered.state.table.items().cloned().collect();
        assert_eq!(items, vec![accepted]);
        assert_eq!(recovered.promised, promised);
        let _ = std::fs::remove_dir_all(&folder);
    }
}

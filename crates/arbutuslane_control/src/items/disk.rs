//! Persists states and promises in the data folder, on a thread of its own.

use std::future::Future;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use arbutuslane_event::kind::Kind;
use arbutuslane_storage::prelude::*;
use tokio::sync::oneshot;

use crate::store::open_disk;

use super::core::Events;
use super::writer::{Folder, Record, Recovered, Writer};

/// The time between two attempts to reopen a disk that failed.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);

/// A write request to the disk thread; the reply says whether the write is durable.
struct Job {
    record: Record,
    reply: oneshot::Sender<bool>,
}

/// Sends write requests to the disk thread.
#[derive(Clone)]
pub(super) struct DiskHandle {
    jobs: Sender<Job>,
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
        let (reply, result) = oneshot::channel();
        let is_queued = self.jobs.send(Job { record, reply }).is_ok();
        async move { is_queued && result.await.unwrap_or(false) }
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
    let (jobs, inbox) = channel();
    let shared = Arc::clone(&is_writable);
    thread::spawn(move || run(writer, &inbox, &events, &shared));
    Ok((DiskHandle { jobs, is_writable }, recovered))
}

/// Serves write requests until all handles are dropped.
fn run(
    mut writer: Writer<DataFolder>,
    inbox: &Receiver<Job>,
    events: &Events,
    is_writable: &AtomicBool,
) {
    let mut last_attempt_at = Instant::now();
    loop {
        let mut jobs = match inbox.recv_timeout(REOPEN_INTERVAL) {
            Ok(job) => vec![job],
            Err(RecvTimeoutError::Timeout) => Vec::new(),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        // All queued jobs share one sync.
        jobs.extend(inbox.try_iter());
        if !writer.is_writable() && last_attempt_at.elapsed() >= REOPEN_INTERVAL {
            last_attempt_at = Instant::now();
            writer.reopen();
        }
        let is_durable = jobs.is_empty() || write(&mut writer, &mut jobs, events);
        if writer.is_writable() && !is_writable.swap(true, Ordering::Relaxed) {
            events.record(Kind::DiskRegained { items: writer.item_count() });
        }
        if !writer.is_writable() {
            is_writable.store(false, Ordering::Relaxed);
        }
        for job in jobs {
            // The sender of the job may no longer wait for the reply.
            let _ = job.reply.send(is_durable);
        }
    }
}

/// Writes the records of `jobs`; returns whether they are durable. Records the first failure after a
/// time without one.
fn write(writer: &mut Writer<DataFolder>, jobs: &mut [Job], events: &Events) -> bool {
    let was_writable = writer.is_writable();
    let mut all = Record::default();
    for job in jobs {
        all.updates.append(&mut job.record.updates);
        all.promised = all.promised.max(job.record.promised.take());
    }
    let Err(error) = writer.write(&all) else { return true };
    if was_writable {
        events.record(Kind::DiskFault { detail: error.to_string() });
    }
    false
}

/// The data folder in the file system.
#[derive(Debug)]
struct DataFolder(PathBuf);

impl Folder for DataFolder {
    type Disk = disk::Real;

    fn open(&self) -> Result<disk::Real, Error> {
        open_disk(&self.0)
    }
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use arbutuslane_item::prelude::{
        Ballot, Electorate, Item, Key, Position, Source, State, Update,
    };

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
            updates: vec![update(round, item)],
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

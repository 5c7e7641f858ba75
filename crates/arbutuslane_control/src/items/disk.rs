//! Persists items in the data folder, on a thread of its own.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use arbutuslane_event::kind::Kind;
use arbutuslane_item::prelude::Item;
use arbutuslane_storage::prelude::*;
use tokio::sync::oneshot;

use crate::store::open_disk;

use super::core::Events;
use super::writer::{Folder, Recovered, Writer};

/// The time between two attempts to reopen a disk that failed.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);

/// A write request to the disk thread; the reply says whether the write is durable.
struct Job {
    items: Vec<Arc<Item>>,
    /// Whether to record that this instance holds every accepted change.
    complete: bool,
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

    /// Writes items; returns whether they are durable.
    pub(super) async fn store(&self, items: Vec<Arc<Item>>) -> bool {
        self.submit(items, false).await
    }

    /// Records that this instance holds every accepted change; returns whether the record is
    /// durable.
    pub(super) async fn record_complete(&self) -> bool {
        self.submit(Vec::new(), true).await
    }

    async fn submit(&self, items: Vec<Arc<Item>>, complete: bool) -> bool {
        let (reply, result) = oneshot::channel();
        if self.jobs.send(Job { items, complete, reply }).is_err() {
            return false;
        }
        result.await.unwrap_or(false)
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
        let items = recovered.items.len();
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
        let is_durable = jobs.is_empty() || write(&mut writer, &jobs, events);
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

/// Writes the items of `jobs`; returns whether they are durable. Records the first failure after a
/// time without one.
fn write(writer: &mut Writer<DataFolder>, jobs: &[Job], events: &Events) -> bool {
    let was_writable = writer.is_writable();
    let items: Vec<Arc<Item>> = jobs.iter().flat_map(|job| job.items.iter().cloned()).collect();
    let Err(error) = writer.write(&items, jobs.iter().any(|job| job.complete)) else { return true };
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
    use arbutuslane_item::prelude::{Key, Source};

    use super::*;

    /// Guards against the loss of an accepted item in a restart when an earlier declaration with
    /// the same version has the larger hash.
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
        let name = format!("arbutuslane-disk-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        let _ = std::fs::remove_dir_all(&folder);
        let events = || Events::new(arbutuslane_event::buffer::Buffer::new("c", 16));
        let (disk, _) = start(folder.clone(), true, events()).unwrap();
        assert!(disk.store(vec![first]).await);
        assert!(disk.store(vec![accepted.clone()]).await);
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
        assert_eq!(opened.unwrap().1.items, vec![accepted]);
        let _ = std::fs::remove_dir_all(&folder);
    }
}

//! Persists items in the data folder, on a thread of its own.

use std::path::PathBuf;
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

use arbutuslane_event::kind::Kind;
use arbutuslane_item::prelude::{Item, Table};
use arbutuslane_item::{border, replication::Standing};
use arbutuslane_storage::prelude::*;
use arbutuslane_wire::codec;
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use crate::store::open_disk;

use super::core::Events;

/// The number of log entries after which a snapshot replaces the log; bounds the restart time.
const ENTRIES_BEFORE_SNAPSHOT: u64 = 4_096;

/// The time between two attempts to reopen a disk that failed.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);

/// The metadata stored beside the items.
#[derive(Debug, Serialize, Deserialize)]
struct Meta {
    /// Whether the instance holds every change accepted before it started.
    complete: bool,
}

/// A write request to the disk thread; the reply says whether the write is durable.
pub(super) struct Job {
    items: Vec<Item>,
    /// Whether to record that this instance holds every accepted change.
    complete: bool,
    reply: oneshot::Sender<bool>,
}

/// Sends write requests to the disk thread.
#[derive(Clone)]
pub(super) struct DiskHandle {
    jobs: Sender<Job>,
}

/// The state read from the data folder at the start.
pub(super) struct Recovered {
    pub(super) items: Vec<Item>,
    pub(super) standing: Standing,
}

impl DiskHandle {
    /// Writes items; returns whether they are durable.
    pub(super) async fn store(&self, items: Vec<Item>) -> bool {
        self.submit(items, false).await
    }

    /// Records that this instance holds every accepted change; returns whether the record is
    /// durable.
    pub(super) async fn record_complete(&self) -> bool {
        self.submit(Vec::new(), true).await
    }

    async fn submit(&self, items: Vec<Item>, complete: bool) -> bool {
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
    let (log, recovered) = Log::open(open_disk(&folder)?, log::DEFAULT_SEGMENT_BYTES)?;
    let next_index = recovered.entries.last().map_or(0, |entry| entry.index);
    let next_index =
        next_index.max(recovered.snapshot.as_ref().map_or(0, |snapshot| snapshot.index)) + 1;
    let is_new = recovered.meta.is_none() && recovered.entries.is_empty();
    let meta: Option<Meta> = match &recovered.meta {
        Some(bytes) => Some(codec::decode(bytes).map_err(|error| codec_error(&error))?),
        None => None,
    };
    let mut items = Vec::new();
    if let Some(snapshot) = &recovered.snapshot {
        items.extend(decode(&snapshot.payload)?);
    }
    for entry in &recovered.entries {
        items.extend(decode(&entry.payload)?);
    }
    let complete = meta.is_some_and(|meta| meta.complete) || (is_new && first_start);
    // When two declarations have the same version, the accepted one is written last and so wins.
    let mut table = Table::default();
    for item in items {
        table.merge_accepted(item);
    }
    let items = table.items().to_vec();
    let mut writer =
        Writer { folder, log: Some(log), table, next_index, entries_since_snapshot: 0, complete };
    writer.write_meta()?;
    let (jobs, inbox) = channel();
    thread::spawn(move || writer.run(&inbox, &events));
    let standing = match complete {
        true => Standing::Complete,
        false => Standing::Recovering { sources: Vec::new() },
    };
    Ok((DiskHandle { jobs }, Recovered { items, standing }))
}

/// The state of the disk thread.
struct Writer {
    folder: PathBuf,
    /// `None` after a disk fault, until the log is reopened.
    log: Option<Log<disk::Real>>,
    table: Table,
    next_index: u64,
    entries_since_snapshot: u64,
    complete: bool,
}

impl Writer {
    fn run(&mut self, inbox: &Receiver<Job>, events: &Events) {
        let mut last_attempt_at = Instant::now();
        loop {
            let mut jobs = match inbox.recv_timeout(REOPEN_INTERVAL) {
                Ok(job) => vec![job],
                Err(RecvTimeoutError::Timeout) => Vec::new(),
                Err(RecvTimeoutError::Disconnected) => return,
            };
            // All queued jobs share one sync.
            jobs.extend(inbox.try_iter());
            if self.log.is_none() && last_attempt_at.elapsed() >= REOPEN_INTERVAL {
                last_attempt_at = Instant::now();
                self.reopen();
            }
            if jobs.is_empty() {
                continue;
            }
            let written = self.write(&jobs);
            if let Err(error) = &written {
                self.log = None;
                events.record(Kind::DiskFault { detail: error.to_string() });
            }
            for job in jobs {
                // The sender of the job may no longer wait for the reply.
                let _ = job.reply.send(written.is_ok());
            }
        }
    }

    fn write(&mut self, jobs: &[Job]) -> Result<(), Error> {
        let mut items = Vec::new();
        for job in jobs {
            items.extend(job.items.iter().cloned());
            for item in &job.items {
                self.table.merge_accepted(item.clone());
            }
        }
        let becomes_complete = !self.complete && jobs.iter().any(|job| job.complete);
        self.complete |= becomes_complete;
        let Some(log) = &mut self.log else { return Err(Error::Stopped) };
        let mut batch = Batch::default();
        if becomes_complete {
            batch.meta = Some(encode(&Meta { complete: true })?);
        }
        if !items.is_empty() {
            let payload = encode(&border::encode(&items))?;
            batch.entries.push(Entry { index: self.next_index, term: 1, payload });
            self.next_index += 1;
            self.entries_since_snapshot += 1;
        }
        log.append(&batch)?;
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

    /// Opens the log again after a fault and writes all items, because the content of the disk
    /// after the fault is unknown.
    fn reopen(&mut self) {
        let opened =
            open_disk(&self.folder).and_then(|disk| Log::open(disk, log::DEFAULT_SEGMENT_BYTES));
        let Ok((log, _)) = opened else { return };
        self.log = Some(log);
        if self.write_meta().and_then(|()| self.save_snapshot()).is_err() {
            self.log = None;
            return;
        }
        tracing::info!(event = "disk-regained", items = self.table.items().len());
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    codec::encode(value).map_err(|error| codec_error(&error))
}

fn decode(bytes: &[u8]) -> Result<Vec<Item>, Error> {
    codec::decode(bytes).map(border::decode).map_err(|error| codec_error(&error))
}

fn codec_error(error: &codec::Error) -> Error {
    Error::Corrupt { file: "items".to_string(), offset: 0, reason: error.to_string() }
}

#[cfg(test)]
mod tests {
    use arbutuslane_item::prelude::Key;

    use super::*;

    /// Guards against the loss of an accepted item in a restart when an earlier declaration with
    /// the same version has the larger hash.
    #[ntex::test]
    async fn start_same_version() {
        let item = |service: &str| {
            let source = format!(r#"{{"service":"{service}"}}"#);
            Item { source, ..Item::removal(Key::Route("r".to_string()), 3) }
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

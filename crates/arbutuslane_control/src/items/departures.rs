//! Keeps the departures of servers that nodes have confirmed, in a log of their own on the disk.

use std::future::Future;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use arbutuslane_core::id::NodeId;
use arbutuslane_core::time::{Clock, Time};
use arbutuslane_member::departure::{Departure, Keeper, RETENTION};
use arbutuslane_storage::prelude::*;
use tokio::sync::oneshot;

use super::departure_log::DepartureLog;
use super::writer::Folder;
use crate::store::open_disk;

/// The folder of the log in the data folder.
const FOLDER: &str = "departures";

/// The time between two attempts to reopen a disk that failed.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);

/// The departures of one node.
pub(super) type OfNode = (NodeId, Vec<Departure>);

/// The departures that this instance keeps for nodes.
pub(super) struct Departures {
    keeper: Mutex<Keeper>,
    jobs: Sender<Job>,
    clock: Clock,
    /// The time from which on no departure that matters can be missing.
    complete_from: Time,
}

/// Departures to write; the reply says whether they are durable.
struct Job {
    departures: OfNode,
    now: Time,
    reply: oneshot::Sender<bool>,
}

/// The folder of the log in the file system.
#[derive(Debug)]
struct LogFolder(PathBuf);

impl Folder for LogFolder {
    type Disk = disk::Real;

    fn open(&self) -> Result<disk::Real, Error> {
        open_disk(&self.0)
    }
}

impl Departures {
    /// Reads the departures in the data folder and starts the thread that writes them. `is_new` states
    /// whether the disk was empty or damaged, and may have lost departures.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be read.
    pub(super) fn start(data: &Path, is_new: bool, clock: Clock) -> Result<Self, Error> {
        let now = clock.now();
        let (log, recovered) = DepartureLog::open(LogFolder(data.join(FOLDER)), now)?;
        let mut keeper = Keeper::default();
        for (node, departures) in recovered.departures {
            keeper.keep(&node, departures, now);
        }
        let may_lack = is_new || recovered.is_damaged;
        let complete_from = if may_lack { now + RETENTION } else { now };
        let (jobs, inbox) = channel();
        thread::spawn(move || run(log, &inbox, clock));
        Ok(Self { keeper: Mutex::new(keeper), jobs, clock, complete_from })
    }

    /// Returns the clock by which departures are kept.
    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    /// Keeps departures for a node. The future returns whether they are on the disk.
    pub(super) fn keep(&self, departures: OfNode, now: Time) -> impl Future<Output = bool> + use<> {
        self.lock().keep(&departures.0, departures.1.clone(), now);
        let (reply, result) = oneshot::channel();
        let is_queued = self.jobs.send(Job { departures, now, reply }).is_ok();
        async move { is_queued && result.await.unwrap_or(false) }
    }

    /// Returns the departures that are kept for a node.
    pub(super) fn of_node(&self, node: &str, now: Time) -> Vec<Departure> {
        self.lock().departures(node, now)
    }

    /// Returns whether this instance has every departure that it has confirmed to keep.
    pub(super) fn is_complete(&self, now: Time) -> bool {
        now >= self.complete_from
    }

    fn lock(&self) -> MutexGuard<'_, Keeper> {
        self.keeper.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes departures until the sender is dropped.
fn run(mut log: DepartureLog<LogFolder>, inbox: &Receiver<Job>, clock: Clock) {
    let mut last_attempt_at = Instant::now();
    loop {
        let mut jobs = match inbox.recv_timeout(REOPEN_INTERVAL) {
            Ok(job) => vec![job],
            Err(RecvTimeoutError::Timeout) => Vec::new(),
            Err(RecvTimeoutError::Disconnected) => return,
        };
        // All queued jobs share one sync.
        jobs.extend(inbox.try_iter());
        if !log.is_writable() && last_attempt_at.elapsed() >= REOPEN_INTERVAL {
            last_attempt_at = Instant::now();
            log.reopen(clock.now());
        }
        let written: Vec<(&OfNode, Time)> =
            jobs.iter().map(|job| (&job.departures, job.now)).collect();
        let is_durable = log.write(&written).is_ok();
        for job in jobs {
            // The sender of the job may no longer wait for the reply.
            let _ = job.reply.send(is_durable);
        }
    }
}

//! Keeps the departures of servers that nodes have confirmed, in a log of their own on the disk.

use std::future::Future;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};

use arbutuslane_core::id::NodeId;
use arbutuslane_core::time::{Clock, Time};
use arbutuslane_member::departure::{Departure, Keeper, RETENTION};
use arbutuslane_storage::prelude::*;

use crate::store::open_disk;

use super::departure_log::DepartureLog;
use super::disk_thread::{self, Handle, Target};
use super::writer::Folder;

/// The folder of the log in the data folder.
const FOLDER: &str = "departures";

/// The departures of one node.
pub(super) type OfNode = (NodeId, Vec<Departure>);

/// The departures that this instance keeps for nodes.
pub(super) struct Departures {
    keeper: Mutex<Keeper>,
    thread: Handle<Timed>,
    clock: Clock,
    /// The time from which on no departure that matters can be missing.
    complete_from: Time,
}

/// Departures with the time from which on they are kept.
type Timed = (OfNode, Time);

/// The log on its disk thread.
struct TimedLog {
    log: DepartureLog<LogFolder>,
    clock: Clock,
    complete_from: Time,
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
        let (log, recovered) = DepartureLog::open(LogFolder(data.join(FOLDER)), is_new, now)?;
        let mut keeper = Keeper::default();
        for (node, departures) in recovered {
            keeper.keep(&node, departures, now);
        }
        let complete_from = if log.is_complete() { now } else { now + RETENTION };
        let thread = disk_thread::start(TimedLog { log, clock, complete_from });
        Ok(Self { keeper: Mutex::new(keeper), thread, clock, complete_from })
    }

    /// Returns the clock by which departures are kept.
    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    /// Keeps departures for a node. The future returns whether they are on the disk.
    pub(super) fn keep(&self, departures: OfNode, now: Time) -> impl Future<Output = bool> + use<> {
        self.lock().keep(&departures.0, departures.1.clone(), now);
        self.thread.write((departures, now))
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

impl Target for TimedLog {
    type Record = Timed;

    fn is_writable(&self) -> bool {
        self.log.is_writable()
    }

    fn reopen(&mut self) {
        self.log.reopen(self.clock.now());
    }

    fn write(&mut self, records: Vec<Timed>) -> bool {
        if !self.log.is_complete() && self.clock.now() >= self.complete_from {
            self.log.set_complete();
        }
        self.log.write(&records).is_ok()
    }
}

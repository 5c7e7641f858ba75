//! Keeps what must outlast the restart of nodes: departures of servers that nodes have confirmed, and
//! strikes against requests. Each has a log of its own on the disk.

use std::future::Future;
use std::path::{Path, PathBuf};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_core::id::NodeId;
use arbutuslane_core::time::{Clock, Time};
use arbutuslane_event::clock::wall_ms;
use arbutuslane_member::departure::{Departure, Keeper, RETENTION};
use arbutuslane_record::prelude::{Strike, Strikes};
use arbutuslane_record::strike::QUARANTINE_DURATION;
use arbutuslane_storage::prelude::Error;
use arbutuslane_wire::peer;
use serde::{Deserialize, Serialize};

use super::disk::DataFolder;
use super::disk_thread::{self, Handle, Target};
use super::kept_log::{Kept, KeptLog};

/// The folders of the logs in the data folder.
const DEPARTURES_FOLDER: &str = "departures";
const STRIKES_FOLDER: &str = "strikes";

/// The departures of one node.
pub(super) type OfNode = (NodeId, Vec<Departure>);

/// What this instance keeps for nodes.
pub(super) struct KeptForNodes {
    /// The departures of servers.
    pub(super) departures: OnDisk<Keeper>,
    /// The strikes against requests.
    pub(super) strikes: OnDisk<Strikes>,
}

/// What is kept, in memory and on the disk.
pub(super) struct OnDisk<K: Kept> {
    kept: Mutex<K>,
    thread: Handle<Timed<K>>,
    clock: Clock,
    /// The time from which on nothing that matters can be missing.
    complete_from: Time,
}

/// An entry with the time from which on it is kept.
type Timed<K> = (<K as Kept>::Entry, Time);

/// The log on its disk thread.
struct TimedLog<K: Kept> {
    log: KeptLog<DataFolder, K>,
    clock: Clock,
    complete_from: Time,
}

impl KeptForNodes {
    /// Reads what is in the data folder. `is_new` states whether the disk was empty or damaged, so that
    /// something may be missing.
    ///
    /// # Errors
    ///
    /// Returns an error if a log cannot be read.
    pub(super) fn start(data: &Path, is_new: bool, clock: Clock) -> Result<Self, Error> {
        let departures = OnDisk::start(data.join(DEPARTURES_FOLDER), is_new, clock, RETENTION)?;
        let strikes = OnDisk::start(data.join(STRIKES_FOLDER), is_new, clock, QUARANTINE_DURATION)?;
        Ok(Self { departures, strikes })
    }

    /// Returns the clock by which entries are kept.
    pub(super) fn clock(&self) -> Clock {
        self.departures.clock
    }
}

impl<K> OnDisk<K>
where
    K: Kept + Send + 'static,
    K::Entry: Send,
{
    /// Reads the log in `folder` and starts the thread that writes it. Entries matter for `retention`.
    fn start(
        folder: PathBuf,
        is_new: bool,
        clock: Clock,
        retention: Duration,
    ) -> Result<Self, Error> {
        let now = clock.now();
        let (log, recovered) = KeptLog::<_, K>::open(DataFolder(folder), is_new, now)?;
        let mut kept = K::default();
        for entry in &recovered {
            kept.keep(entry, now);
        }
        let complete_from = if log.is_complete() { now } else { now + retention };
        let thread = disk_thread::start(TimedLog { log, clock, complete_from });
        Ok(Self { kept: Mutex::new(kept), thread, clock, complete_from })
    }

    /// Keeps an entry. The future returns whether it is on the disk.
    pub(super) fn keep(&self, entry: K::Entry, now: Time) -> impl Future<Output = bool> + use<K> {
        self.lock().keep(&entry, now);
        self.thread.write((entry, now))
    }

    /// Returns whether this instance has everything that it has confirmed to keep.
    pub(super) fn is_complete(&self, now: Time) -> bool {
        now >= self.complete_from
    }

    /// Locks what is kept.
    pub(super) fn lock(&self) -> MutexGuard<'_, K> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OnDisk<Strikes> {
    /// Merges strikes that a node told, and writes those that were not known so.
    pub(super) async fn merge(&self, told: Vec<peer::strike::Strike>) {
        let now = self.clock.now();
        let mut changed = Vec::new();
        {
            let mut strikes = self.lock();
            for strike in told {
                let (strike, until) = strike.into_strike(now);
                changed.extend(strikes.merge(now, strike, until));
            }
        }
        if !changed.is_empty() {
            // Also without a disk, the strikes are known here.
            self.thread.write((changed, now)).await;
        }
    }
}

impl<K> Target for TimedLog<K>
where
    K: Kept + Send + 'static,
    K::Entry: Send,
{
    type Record = Timed<K>;

    fn is_writable(&self) -> bool {
        self.log.is_writable()
    }

    fn reopen(&mut self) {
        self.log.reopen(self.clock.now());
    }

    fn write(&mut self, records: Vec<Timed<K>>) -> bool {
        if !self.log.is_complete() && self.clock.now() >= self.complete_from {
            self.log.set_complete();
        }
        self.log.write(&records).is_ok()
    }
}

impl Kept for Keeper {
    type Entry = OfNode;
    type Record = DepartureRecord;

    fn keep(&mut self, (node, departures): &OfNode, now: Time) {
        Self::keep(self, node, departures.clone(), now);
    }

    fn all(&self, now: Time) -> Vec<OfNode> {
        Self::all(self, now)
    }
}

impl Kept for Strikes {
    type Entry = Vec<Strike>;
    type Record = StrikesRecord;

    fn keep(&mut self, strikes: &Vec<Strike>, now: Time) {
        for strike in strikes {
            // By the time of day, because the log may be read long after it was written.
            let age = Duration::from_millis(wall_ms().saturating_sub(strike.at_ms));
            self.merge(now, strike.clone(), now + QUARANTINE_DURATION.saturating_sub(age));
        }
    }

    fn all(&self, now: Time) -> Vec<Vec<Strike>> {
        vec![Self::all(self, now)]
    }
}

/// The serialized form of strikes.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StrikesRecord {
    strikes: Vec<peer::strike::Strike>,
}

impl From<Vec<Strike>> for StrikesRecord {
    fn from(strikes: Vec<Strike>) -> Self {
        // How long they still count follows from the time of day at which they were recorded.
        let convert = |strike| peer::strike::Strike::new(strike, Time::ZERO, Time::ZERO);
        Self { strikes: strikes.iter().map(convert).collect() }
    }
}

impl From<StrikesRecord> for Vec<Strike> {
    fn from(record: StrikesRecord) -> Self {
        let strikes = record.strikes.into_iter();
        strikes.map(|strike| strike.into_strike(Time::ZERO).0).collect()
    }
}

/// The serialized form of the departures of one node.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct DepartureRecord {
    node: String,
    departures: Vec<peer::departure::Departure>,
}

impl From<OfNode> for DepartureRecord {
    fn from((node, departures): OfNode) -> Self {
        let departures = departures.into_iter().map(Into::into).collect();
        Self { node, departures }
    }
}

impl From<DepartureRecord> for OfNode {
    fn from(record: DepartureRecord) -> Self {
        (record.node, record.departures.into_iter().map(Into::into).collect())
    }
}

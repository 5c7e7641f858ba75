//! State shared by the threads of a control instance. What the agreement changes and what goes to disk
//! for it are queued under one lock, so that the disk gets the updates in their order.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arbutuslane_core::id::Incarnation;
use arbutuslane_core::rng::Rng;
use arbutuslane_core::time::Clock;
use arbutuslane_core::{hash, rng};
use arbutuslane_event::buffer::Buffer;
use arbutuslane_event::metric::{Histograms, Text};
use arbutuslane_item::election::{Deposed, Proposal};
use arbutuslane_item::item::MAX_LISTED_ITEMS;
use arbutuslane_item::prelude::{
    Ballot, Candidate, Item, Leader, Position, Replication, Table as ItemTable, Update,
};
use arbutuslane_item::replication::{Refusal, Status};
use arbutuslane_member::departure::Keeper;
use arbutuslane_member::gossip::Gossip;
use arbutuslane_member::table::Table;
use rand::RngExt;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::gossip::{GossipDelegate, MemberChange};
use crate::token::Tokens;

use super::disk::DiskHandle;
use super::leader::{Decision, Order};
use super::settings::Settings;
use super::writer::Record;

/// The event timeline.
pub(super) type Events = Arc<Buffer>;

/// Peer addresses of members by member name.
pub(super) type Addresses = BTreeMap<String, String>;

/// State shared by the threads of a control instance.
pub(super) struct Core {
    pub(super) settings: Settings,
    pub(super) tokens: Arc<Tokens>,
    pub(super) disk: DiskHandle,
    pub(super) events: Events,
    pub(super) counters: Counters,
    /// The items that were on the disk at the start.
    recovered: ItemTable,
    replication: Mutex<Replication>,
    members: Mutex<Members>,
    /// The departures of servers that this instance keeps for nodes.
    departures: Mutex<Keeper>,
    pub(super) clock: Clock,
    /// The changes for the leader task.
    orders: UnboundedSender<Order>,
    /// The start of this instance, which its ballots contain.
    pub(super) incarnation: Incarnation,
    /// Whether the next repair round compares the states, because a message was lost.
    pub(super) repair_soon: AtomicBool,
    jitter: Mutex<Rng>,
    stopping: AtomicBool,
}

/// The members that gossip considers alive.
#[derive(Debug, Clone, Default)]
pub(super) struct Members {
    /// The other control instances.
    pub(super) control: Addresses,
    /// The nodes.
    pub(super) nodes: Addresses,
}

/// Monotonic counters of a control instance.
#[derive(Debug, Default)]
pub(super) struct Counters {
    /// Changes that were accepted.
    pub(super) accepted: AtomicU64,
    /// Changes that were refused as invalid.
    pub(super) invalid: AtomicU64,
    /// Changes whose copies could not be collected in time.
    pub(super) unconfirmed: AtomicU64,
    /// Messages about accepted items that the receiver did not answer.
    pub(super) push_failures: AtomicU64,
    timings: Timings,
}

/// Histograms of the duration of each step of a change.
#[derive(Debug)]
struct Timings(Mutex<Histograms>);

/// A step of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Step {
    /// Writing to the disk of this instance, with the sync.
    Store,
    /// From the arrival of a change until enough instances have stored it.
    Accept,
}

impl Default for Timings {
    fn default() -> Self {
        let (name, help) = ("arbutuslane_control_step_seconds", "Time of the steps of a change.");
        Self(Mutex::new(Histograms::new(name, help, &["step"], 4)))
    }
}

impl Counters {
    /// Records the duration of a step.
    pub(super) fn record_step(&self, step: Step, time: Duration) {
        let step = match step {
            Step::Store => "store",
            Step::Accept => "accept",
        };
        let mut histograms = self.timings.0.lock().unwrap_or_else(PoisonError::into_inner);
        histograms.record(&[step], time);
    }

    /// Appends the histograms of the steps to `text`.
    pub(super) fn render_timings(&self, text: &mut Text) {
        text.histograms(&self.timings.0.lock().unwrap_or_else(PoisonError::into_inner));
    }
}

impl Core {
    pub(super) fn new(
        settings: Settings,
        disk: DiskHandle,
        replication: Replication,
        events: Events,
        incarnation: Incarnation,
        orders: UnboundedSender<Order>,
    ) -> Arc<Self> {
        let tokens = match &settings.token_file {
            Some(path) => Tokens::new(path),
            None => Tokens::accept_all(),
        };
        let seed = hash::of_bytes(settings.name.as_bytes()) ^ incarnation;
        Arc::new(Self {
            settings,
            tokens: Arc::new(tokens),
            disk,
            events,
            counters: Counters::default(),
            recovered: replication.stored().table.clone(),
            replication: Mutex::new(replication),
            members: Mutex::default(),
            departures: Mutex::default(),
            clock: Clock::start_counting_suspension(),
            orders,
            incarnation,
            repair_soon: AtomicBool::new(false),
            jitter: Mutex::new(rng::seeded(seed)),
            stopping: AtomicBool::new(false),
        })
    }

    /// Returns what this instance reports of itself.
    pub(super) fn status(&self) -> Status {
        self.replication().status()
    }

    /// Promises to follow `ballot`, and writes the promise to disk. The status that this returns says
    /// whether the promise was given.
    pub(super) async fn promise(&self, ballot: &Ballot) -> Status {
        let (status, written) = {
            let mut replication = self.replication();
            let Some(status) = replication.promise(ballot) else { return replication.status() };
            let record = Record { promised: Some(ballot.clone()), ..Record::default() };
            (status, self.disk.write(record))
        };
        let is_durable = written.await;
        Status { is_complete: is_durable, ..status }
    }

    /// Stores a state that a leader proposes; returns whether it is on disk.
    ///
    /// # Errors
    ///
    /// See [`Refusal`].
    pub(super) async fn store(&self, update: &Update) -> Result<bool, Refusal> {
        let written = {
            let mut replication = self.replication();
            let is_new = update.position > replication.stored().position;
            replication.store(update)?;
            self.disk.write(updates(is_new.then(|| update.clone())))
        };
        Ok(self.record_write(written, &update.position, update.digest).await)
    }

    /// Takes over an accepted state of another instance; returns whether it is on disk here.
    pub(super) async fn install(&self, update: &Update) -> bool {
        let written = {
            let mut replication = self.replication();
            let is_new = update.position > replication.stored().position;
            if !replication.install(update) {
                return false;
            }
            self.disk.write(updates(is_new.then(|| update.clone())))
        };
        self.record_write(written, &update.position, update.digest).await
    }

    /// Adopts a state as a candidate; returns whether this instance has it.
    pub(super) async fn adopt(
        &self,
        candidate: &Candidate,
        source: &Status,
        update: &Update,
    ) -> bool {
        let (written, position, digest) = {
            let mut replication = self.replication();
            let before = replication.stored().table.buckets().to_vec();
            if !candidate.adopt(&mut replication, source, update) {
                return false;
            }
            let adopted = replication.stored().update_for(&before);
            let (position, digest) = (adopted.position.clone(), adopted.digest);
            (self.disk.write(updates(Some(adopted))), position, digest)
        };
        let is_durable = self.record_write(written, &position, digest).await;
        // The disk of an instance that counts already may fail for a while.
        is_durable || self.replication().is_complete()
    }

    /// Leads after an election; returns `None` if another instance has a higher ballot, or if the disk
    /// cannot record that this instance counts for quorums from now on.
    pub(super) async fn elect(&self, candidate: Candidate) -> Option<Leader> {
        if !self.replication().is_complete() {
            let promised = Some(candidate.ballot().clone());
            let record = Record { promised, complete: true, ..Record::default() };
            if !self.disk.write(record).await {
                return None;
            }
            let instances = self.replication().quorum();
            tracing::info!(event = "recovered", instances);
        }
        candidate.elect(&mut self.replication()).ok()
    }

    /// Applies changes as the leader. The future returns whether the resulting state is on the disk
    /// of this instance.
    ///
    /// # Errors
    ///
    /// Returns an error if another instance has a higher ballot.
    pub(super) fn propose(
        self: &Arc<Self>,
        leader: &mut Leader,
        changes: &[Vec<Arc<Item>>],
    ) -> Result<(Proposal, impl Future<Output = bool> + use<>), Deposed> {
        let mut replication = self.replication();
        let before = replication.stored().position.clone();
        let proposal = leader.propose(&mut replication, changes)?;
        let update = &proposal.update;
        let is_new = update.position > before;
        let written = self.disk.write(updates(is_new.then(|| update.clone())));
        let (core, position, digest) = (Arc::clone(self), update.position.clone(), update.digest);
        let stored = async move { core.record_write(written, &position, digest).await };
        Ok((proposal, stored))
    }

    /// Records the outcome of a write of the state at `position`, and its duration.
    async fn record_write(
        &self,
        written: impl Future<Output = bool>,
        position: &Position,
        digest: u64,
    ) -> bool {
        let started_at = Instant::now();
        let is_durable = written.await;
        self.counters.record_step(Step::Store, started_at.elapsed());
        if is_durable {
            self.replication().record_durable(position, digest);
        }
        is_durable
    }

    /// Locks the replication state of the items.
    pub(super) fn replication(&self) -> MutexGuard<'_, Replication> {
        self.replication.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the items that nodes may not have yet.
    ///
    /// After a restart, every instance settles anew that the items on its disk are accepted. Nodes
    /// had them before; those that have restarted as well fetch all items before they serve.
    pub(super) fn to_push(&self, mut items: Vec<Arc<Item>>) -> Vec<Arc<Item>> {
        items.retain(|item| !self.recovered.covers(item));
        items
    }

    /// Locks the departures that this instance keeps for nodes.
    pub(super) fn departures(&self) -> MutexGuard<'_, Keeper> {
        self.departures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the members that gossip considers alive.
    pub(super) fn members(&self) -> Members {
        self.members.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Records that the state at `position` is accepted; returns the items that this instance did not
    /// know to be accepted.
    pub(super) fn learn(&self, position: &Position) -> Vec<Arc<Item>> {
        let new_items = self.replication().learn(position);
        log_accepted(&new_items);
        new_items
    }

    /// Queues a change for the leader task; the future returns the decision.
    pub(super) fn order(&self, items: Vec<Arc<Item>>) -> impl Future<Output = Decision> + use<> {
        let (reply, decision) = oneshot::channel();
        let is_queued = self.orders.send(Order { items, reply }).is_ok();
        async move {
            match is_queued {
                true => decision.await.unwrap_or(Decision::Unavailable),
                false => Decision::Unavailable,
            }
        }
    }

    /// Returns a random time shorter than `max`, so that instances do not act at the same time.
    pub(super) fn jitter(&self, max: Duration) -> Duration {
        let mut rng = self.jitter.lock().unwrap_or_else(PoisonError::into_inner);
        rng.random_range(Duration::ZERO..max)
    }

    /// Returns whether a planned stop has begun.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub(super) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}

fn updates(update: Option<Update>) -> Record {
    Record { updates: update.into_iter().collect(), ..Record::default() }
}

fn log_accepted(items: &[Arc<Item>]) {
    if items.len() > MAX_LISTED_ITEMS {
        let newest_version = items.iter().map(|item| item.version).max();
        tracing::info!(event = "items-accepted", items = items.len(), newest_version);
        return;
    }
    for item in items {
        tracing::info!(
            event = "item-accepted",
            item = ?item.key,
            version = item.version,
            removed = item.content.is_none()
        );
    }
}

impl GossipDelegate for Arc<Core> {
    fn is_stopped(&self) -> bool {
        false
    }

    fn publish(&self, _: &mut Gossip) {
        // Items are sent in separate messages; the gossip carries only membership.
    }

    fn member_changed(&self, member: &MemberChange<'_>) {
        self.events.record(member.to_event());
    }

    fn update_members(&self, table: &Table) {
        let mut members = Members::default();
        for known in table.members() {
            let record = &known.record;
            if record.node == self.settings.name {
                continue;
            }
            let list = match record.callers.is_empty() {
                true => &mut members.control,
                false => &mut members.nodes,
            };
            list.insert(record.node.clone(), record.peers.clone());
        }
        *self.members.lock().unwrap_or_else(PoisonError::into_inner) = members;
    }
}

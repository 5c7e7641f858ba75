//! State shared by the threads of a control instance.

use std::collections::BTreeMap;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_core::id::Incarnation;
use arbutuslane_core::rng::Rng;
use arbutuslane_core::time::Clock;
use arbutuslane_core::{hash, rng};
use arbutuslane_event::buffer::Buffer;
use arbutuslane_event::metric::{Histograms, Text};
use arbutuslane_item::distribution::Receiver;
use arbutuslane_item::item::MAX_LISTED_ITEMS;
use arbutuslane_item::prelude::{Item, Position, Replication};
use arbutuslane_limit::memory::Memory;
use arbutuslane_listen::bodies::Bodies;
use arbutuslane_listen::connections;
use arbutuslane_member::gossip::Gossip;
use arbutuslane_member::table::Table;
use rand::RngExt;
use rand::seq::SliceRandom;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::{Semaphore, oneshot};

use crate::gossip::{GossipDelegate, MemberChange};
use crate::token::Tokens;

use super::disk::DiskHandle;
use super::kept::KeptForNodes;
use super::leader::{Decision, Order};
use super::outbox::Outbox;
use super::settings::Settings;
use super::writer::Record;

/// The event timeline.
pub(super) type Events = Arc<Buffer>;

/// Peer addresses of members by member name.
pub(super) type Addresses = BTreeMap<String, String>;

/// State shared by the threads of a control instance.
pub(super) struct Core {
    pub(super) settings: Settings,
    /// The bodies of requests that are being received.
    pub(super) bodies: Arc<Bodies>,
    /// Lets one large change be handled at a time.
    pub(super) large_changes: Semaphore,
    /// The connections that were closed for want of room.
    pub(super) connections: Arc<connections::Counters>,
    pub(super) tokens: Arc<Tokens>,
    pub(super) disk: DiskHandle,
    pub(super) events: Events,
    pub(super) counters: Counters,
    replication: Mutex<Replication>,
    members: Mutex<Members>,
    /// What this instance keeps for nodes.
    pub(super) kept: KeptForNodes,
    pub(super) clock: Clock,
    /// The accepted items that nodes have yet to be told of.
    pub(super) outbox: Outbox,
    /// The changes for the leader task.
    orders: UnboundedSender<Order>,
    /// The start of this instance, which its ballots contain.
    pub(super) incarnation: Incarnation,
    /// Whether the next repair round compares the states, because a message was lost.
    pub(super) repair_soon: AtomicBool,
    rng: Mutex<Rng>,
    stopping: AtomicBool,
}

/// The members that gossip considers alive.
#[derive(Debug, Clone, Default)]
pub(super) struct Members {
    /// The other control instances.
    pub(super) control: Addresses,
    /// The nodes.
    pub(super) nodes: Vec<Receiver>,
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
        kept: KeptForNodes,
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
            bodies: Bodies::new(Memory::new(settings.body_bytes())),
            large_changes: Semaphore::new(1),
            connections: Arc::default(),
            settings,
            tokens: Arc::new(tokens),
            disk,
            events,
            counters: Counters::default(),
            replication: Mutex::new(replication),
            members: Mutex::default(),
            clock: kept.clock(),
            kept,
            outbox: Outbox::default(),
            orders,
            incarnation,
            repair_soon: AtomicBool::new(false),
            rng: Mutex::new(rng::seeded(seed)),
            stopping: AtomicBool::new(false),
        })
    }

    /// Locks the replication state of the items.
    pub(super) fn replication(&self) -> MutexGuard<'_, Replication> {
        self.replication.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the members that gossip considers alive.
    pub(super) fn members(&self) -> Members {
        self.members.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the nodes that gossip considers alive, in random order.
    pub(super) fn shuffled_nodes(&self) -> Vec<Receiver> {
        let mut nodes = self.members().nodes;
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        nodes.shuffle(&mut *rng);
        nodes
    }

    /// Records that the state at `position` is accepted, also on the disk; returns the items that this
    /// instance did not know to be accepted.
    pub(super) fn learn(&self, position: &Position) -> Vec<Arc<Item>> {
        let (new_items, has_recovered, instances) = {
            let mut replication = self.replication();
            let was_left_out = replication.is_left_out();
            let known = replication.accepted_state().map(|state| state.position.clone());
            let new_items = replication.learn(position);
            let learned = replication.accepted_state().map(|state| state.position.clone());
            if let Some(learned) = learned.filter(|learned| known.as_ref() != Some(learned)) {
                self.disk.write_later(Record::accepted(learned));
            }
            (new_items, was_left_out && !replication.is_left_out(), replication.quorum())
        };
        if has_recovered {
            tracing::info!(event = "recovered", instances);
        }
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
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
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
            if record.callers.is_empty() {
                members.control.insert(record.node.clone(), record.peers.clone());
                continue;
            }
            let Ok(address) = record.peers.parse() else { continue };
            members.nodes.push(Receiver { address, domain: record.domain.clone() });
        }
        *self.members.lock().unwrap_or_else(PoisonError::into_inner) = members;
    }
}

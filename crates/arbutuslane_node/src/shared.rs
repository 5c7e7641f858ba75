//! What the threads of a node share.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use subtle::ConstantTimeEq;

use arbutuslane_core::id::{DomainName, Incarnation, NodeId, Revision, ServerId, ServiceName};
use arbutuslane_core::time::{Clock, Time};
use arbutuslane_event::buffer::Buffer;
use arbutuslane_event::prelude::{Draft, Kind};
use arbutuslane_item::prelude::Item;
use arbutuslane_limit::bucket::Bucket;
use arbutuslane_limit::budget::RetryBudget;
use arbutuslane_limit::resend::Failures;

use crate::announce::Table;
use crate::cluster::Cluster;
use crate::configuration::Configuration;
use crate::interface::Interface;
use crate::metrics::Metrics;
use crate::settings::{Settings, Source};
use crate::traffic::Limiter;

/// The summaries of peers' health that a node attaches to forwarded requests a second; bounds the
/// bytes that they cost.
const SUMMARIES: u32 = 20;

/// The summaries that may be attached at once; the runs in virtual time use the same burst.
const SUMMARY_BURST: u32 = 10;

/// The events that a node keeps for `/v1/events`.
const EVENTS: usize = 4_096;

/// The part of the fleet's retry budget that nodes spend; the rest covers what they cannot see:
/// repeats of calls by requests that are themselves repeated.
const BUDGET_USED: f64 = 0.5;

/// The requests with failed calls that a node remembers; a server runs a few at a time.
const FAILED_CALLS: usize = 128;

/// A backend server that another node owns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Remote {
    /// The service that the server belongs to.
    pub(crate) service: ServiceName,
    /// The name of the server.
    pub(crate) server: ServerId,
    /// The incarnation of the server.
    pub(crate) incarnation: Incarnation,
    /// The number of requests that the server runs at a time.
    pub(crate) slots: u32,
    /// The node that owns the server.
    pub(crate) owner: NodeId,
    /// The `peers` address of the owner.
    pub(crate) address: SocketAddr,
    /// The failure domain of the owner.
    pub(crate) domain: DomainName,
}

/// What the threads of a node share.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The settings of the node.
    pub(crate) settings: Settings,
    /// The form in which servers and the platform call.
    pub(crate) interface: Arc<dyn Interface>,
    /// The clock that every thread counts by.
    pub(crate) clock: Clock,
    /// The start time of the node in milliseconds, which rises with each restart.
    pub(crate) incarnation: Incarnation,
    /// The backend servers that announced themselves here.
    pub(crate) servers: Table,
    /// What happened at this node.
    pub(crate) events: Buffer,
    /// The counters of the node.
    pub(crate) metrics: Metrics,
    /// Membership and register replicas.
    pub(crate) cluster: Cluster,
    /// The rates that this node accepts as an entry.
    pub(crate) limiter: Limiter,
    summaries: Mutex<Bucket>,
    failures: Mutex<Failures>,
    /// The running requests whose calls failed, the newest last.
    failed_calls: Mutex<VecDeque<String>>,
    configuration: RwLock<Arc<Configuration>>,
    remotes: RwLock<Arc<Vec<Remote>>>,
    token: RwLock<Arc<String>>,
    /// The addresses of control instances, which may change while the node runs.
    control: RwLock<Arc<Vec<SocketAddr>>>,
    stopping: AtomicBool,
    /// Whether this node took over all items that another process holds.
    compared: AtomicBool,
    intake_ended: AtomicBool,
    awaited: AtomicU64,
    threads: AtomicU64,
}

impl Shared {
    /// Returns the addresses of control instances that the settings name.
    pub(crate) fn control(&self) -> Arc<Vec<SocketAddr>> {
        Arc::clone(&self.control.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes over the addresses of changed settings.
    pub(crate) fn set_addresses(&self, settings: &Settings) {
        let control = Arc::new(settings.control.clone());
        *self.control.write().unwrap_or_else(PoisonError::into_inner) = control;
        self.cluster.member().gossip.set_seeds(settings.first_peers());
    }

    /// Returns the state of a node that has learned nothing yet.
    pub(crate) fn new(
        settings: Settings,
        interface: Arc<dyn Interface>,
        token: String,
    ) -> Arc<Self> {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clock = Clock::start();
        let events = Buffer::new(settings.node.clone(), EVENTS);
        let incarnation = u64::try_from(started.as_millis()).unwrap_or(u64::MAX);
        let cluster = Cluster::new(&settings, incarnation, clock.now());
        let lease = Duration::from_millis(settings.lease_ms);
        // Permits come from register groups, which only the catalogue's control instances assign.
        let suspects = settings.source == Source::Items;
        let control = RwLock::new(Arc::new(settings.control.clone()));
        Arc::new(Self {
            settings,
            interface,
            clock,
            incarnation,
            servers: Table::new(clock, lease, suspects),
            metrics: Metrics::default(),
            events,
            cluster,
            limiter: Limiter::default(),
            summaries: Mutex::new(Bucket::new(SUMMARIES, SUMMARY_BURST, clock.now())),
            failures: Mutex::default(),
            failed_calls: Mutex::default(),
            configuration: RwLock::default(),
            remotes: RwLock::default(),
            token: RwLock::new(Arc::new(token)),
            control,
            stopping: AtomicBool::new(false),
            compared: AtomicBool::new(false),
            intake_ended: AtomicBool::new(false),
            awaited: AtomicU64::new(0),
            threads: AtomicU64::new(0),
        })
    }

    /// Returns the configuration in force.
    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.configuration.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts `newer` in force unless it is older than the one in force or than one that a backend
    /// server was told; returns whether it did.
    pub(crate) fn adopt(&self, newer: Configuration) -> bool {
        let mut current = self.configuration.write().unwrap_or_else(PoisonError::into_inner);
        if !newer.is_newer_than(&current) || newer.revision() < self.awaited() {
            return false;
        }
        *current = Arc::new(newer);
        true
    }

    /// Puts the items in force that are newer than those in force; returns how many there are.
    pub(crate) fn adopt_items(&self, items: Vec<Item>) -> usize {
        let mut current = self.configuration.write().unwrap_or_else(PoisonError::into_inner);
        let mut table = current.items().clone();
        let mut taken = 0;
        for item in items {
            let (name, version) = (format!("{:?}", item.key), item.version);
            if !table.merge(item) {
                continue;
            }
            taken += 1;
            tracing::info!(event = "item-in-force", item = name, version);
        }
        if taken > 0 {
            *current = Arc::new(table.into());
        }
        taken
    }

    /// Notes that this node took over all items that another process holds.
    pub(crate) fn set_compared(&self) {
        self.compared.store(true, Ordering::Release);
    }

    /// Returns whether the configuration in force may be used.
    ///
    /// A node that has just started may be told of single items before it has asked for all: with
    /// those alone it would deny requests on every other route.
    pub(crate) fn is_configured(&self) -> bool {
        let known = !self.configuration().is_empty();
        known && (self.settings.source == Source::Catalogue || self.has_compared())
    }

    /// Returns whether this node took over all items that another process holds.
    pub(crate) fn has_compared(&self) -> bool {
        self.compared.load(Ordering::Acquire)
    }

    /// Returns the highest revision that a backend server was told.
    pub(crate) fn awaited(&self) -> Revision {
        self.awaited.load(Ordering::Relaxed)
    }

    /// Notes a revision that a backend server was told.
    pub(crate) fn await_revision(&self, revision: Revision) {
        self.awaited.fetch_max(revision, Ordering::Relaxed);
    }

    /// Returns the servers of other nodes in ascending order of service and name.
    pub(crate) fn remotes(&self) -> Arc<Vec<Remote>> {
        Arc::clone(&self.remotes.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the servers of other nodes.
    pub(crate) fn set_remotes(&self, mut remotes: Vec<Remote>) {
        remotes.sort_by(|left, right| {
            let order = (&left.service, &left.server).cmp(&(&right.service, &right.server));
            order.then(right.incarnation.cmp(&left.incarnation))
        });
        // A server that moved is listed by its old owner too, under a lower incarnation.
        remotes.dedup_by(|later, first| later.server == first.server);
        *self.remotes.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(remotes);
    }

    /// Takes note that a request to control failed.
    pub(crate) fn control_failed(&self) {
        let event = self.cluster.contact().failed(self.clock.now());
        self.record_contact(event);
    }

    /// Records that control became unreachable or is reached again.
    pub(crate) fn record_contact(&self, event: Option<Kind>) {
        if let Some(kind) = event {
            self.events.record(Draft::new(kind));
        }
    }

    /// Returns the budget of one service at this node.
    ///
    /// The share of first requests holds wherever they arrive. What the fleet may repeat beyond it is
    /// divided among the nodes, each of which may save up one retry at least.
    pub(crate) fn retry_budget(&self) -> RetryBudget {
        let Some(budget) = self.settings.retry_budget else { return RetryBudget::default() };
        let nodes = self.cluster.member().gossip.table().members().count().max(1);
        let percent = whole(budget.ratio * BUDGET_USED * 100.0);
        let each = f64::from(budget.slack) * BUDGET_USED / nodes as f64;
        let every = Duration::from_secs_f64(budget.window_s / each.max(1e-3));
        RetryBudget::new(percent, 1, whole(each).max(1)).refilled_every(every, self.clock.now())
    }

    /// Returns the secret that processes of the fleet share.
    pub(crate) fn token(&self) -> Arc<String> {
        Arc::clone(&self.token.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether `candidate` is the shared secret, in a time that does not depend on it.
    pub(crate) fn accepts(&self, candidate: &[u8]) -> bool {
        self.settings.token_file.is_none() || self.token().as_bytes().ct_eq(candidate).into()
    }

    /// Reads the secret again, so that it can be replaced without a restart.
    pub(crate) fn reload_token(&self) {
        let Some(path) = &self.settings.token_file else { return };
        let Ok(token) = read_token(path) else { return };
        if token == *self.token() {
            return;
        }
        *self.token.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(token);
    }

    /// Returns the number of a traffic thread that starts, counted from 0.
    pub(crate) fn next_thread(&self) -> u64 {
        self.threads.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether one more summary may be attached to a request; half of the burst is kept
    /// for urgent ones.
    pub(crate) fn may_summarize(&self, urgent: bool, now: Time) -> bool {
        let kept = if urgent { 0 } else { SUMMARY_BURST / 2 };
        self.summaries.lock().unwrap_or_else(PoisonError::into_inner).take_above(kept, now)
    }

    /// Notes that a call of the running request `id` failed.
    pub(crate) fn note_failed_call(&self, id: &str) {
        let mut calls = self.failed_calls.lock().unwrap_or_else(PoisonError::into_inner);
        if calls.len() >= FAILED_CALLS {
            calls.pop_front();
        }
        calls.push_back(id.to_string());
    }

    /// Returns whether a call of the request `id` failed.
    pub(crate) fn call_failed(&self, id: &str) -> bool {
        let calls = self.failed_calls.lock().unwrap_or_else(PoisonError::into_inner);
        calls.iter().any(|known| known == id)
    }

    /// Locks the requests that failed lately.
    pub(crate) fn failures(&self) -> MutexGuard<'_, Failures> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the node is in a planned stop.
    pub(crate) fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns whether a stopping node takes no more requests, because they might be cut.
    pub(crate) fn intake_ended(&self) -> bool {
        self.intake_ended.load(Ordering::Relaxed)
    }

    /// Takes no more requests from here on.
    pub(crate) fn end_intake(&self) {
        self.intake_ended.store(true, Ordering::Relaxed);
    }

    /// Begins a planned stop.
    pub(crate) fn stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }
}

/// Returns the whole part of a positive number.
fn whole(number: f64) -> u32 {
    let number = Duration::try_from_secs_f64(number).unwrap_or_default();
    u32::try_from(number.as_secs()).unwrap_or(u32::MAX)
}

/// Reads a secret from a file; surrounding white space is ignored.
pub(crate) fn read_token(path: &Path) -> std::io::Result<String> {
    let token = std::fs::read_to_string(path)?.trim().to_string();
    match token.is_empty() {
        true => Err(std::io::Error::other("the file is empty")),
        false => Ok(token),
    }
}

//! The state that the threads of a node share.

mod items;

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use subtle::ConstantTimeEq;

use arbutuslane_core::id::{DomainName, Incarnation, NodeId, Revision, ServerId, ServiceName};
use arbutuslane_core::time::{Clock, Time, millis};
use arbutuslane_event::buffer::Buffer;
use arbutuslane_event::prelude::{Draft, Kind};
use arbutuslane_item::prelude::Table;
use arbutuslane_item::view::View;
use arbutuslane_limit::bucket::Bucket;
use arbutuslane_limit::budget::RetryBudget;
use arbutuslane_limit::memory::Memory;
use arbutuslane_limit::places::Places;
use arbutuslane_limit::repeats;
use arbutuslane_limit::resend::RecentFailures;
use arbutuslane_listen::bodies::Bodies;

use crate::announce::ServerTable;
use crate::cluster::Cluster;
use crate::cluster::departures::Departures;
use crate::cluster::items::{Announced, Completeness};
use crate::configuration::Configuration;
use crate::interface::Interface;
use crate::metrics::Metrics;
use crate::recent_ids::RecentIds;
use crate::settings::{Settings, Source};
use crate::state_file::StateFile;
use crate::stop::Stop;
use crate::traffic::{Allowances, Importance, Limiter, Readers, Repeats};

/// The most summaries of peers' health that a node attaches to forwarded requests per second, which
/// bounds the bytes that summaries add.
const SUMMARIES_PER_SECOND: u32 = 20;

/// The most summaries that may be attached at once. The simulation in virtual time uses the same
/// burst.
const SUMMARY_BURST: u32 = 10;

/// The most events that a node holds in memory for `/v1/events`.
const MAX_EVENTS: usize = 4_096;

/// The most requests whose bodies are streamed at a time. A streamed body occupies a slot of its
/// server for as long as its sender takes.
const MAX_STREAMS: usize = 16;

/// A backend server that another node owns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RemoteServer {
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

/// The state that the threads of a node share.
#[derive(Debug)]
pub(crate) struct Shared {
    /// The settings of the node.
    pub(crate) settings: Settings,
    /// The interface through which backend servers and the platform call this node.
    pub(crate) interface: Arc<dyn Interface>,
    /// The clock of all threads.
    pub(crate) clock: Clock,
    /// The start time of the node in milliseconds, which rises with each restart.
    pub(crate) incarnation: Incarnation,
    /// The backend servers that announced themselves here.
    pub(crate) servers: ServerTable,
    /// The latest events of this node.
    pub(crate) events: Buffer,
    /// The counters of the node.
    pub(crate) metrics: Metrics,
    /// Membership and register replicas.
    pub(crate) cluster: Cluster,
    /// The memory for the bodies that this node holds as an entry and as an owner.
    pub(crate) body_memory: Arc<Memory>,
    /// The request bodies that are being received into that memory.
    pub(crate) bodies: Arc<Bodies>,
    /// The bodies of messages to this node itself that are being received.
    pub(crate) message_bodies: Arc<Bodies>,
    /// The requests whose bodies are streamed because that memory is used up.
    pub(crate) streams: Arc<Places>,
    /// The responses that are held in that memory because their readers are slow.
    pub(crate) slow_readers: Readers,
    /// The rate limiter of this node as an entry.
    pub(crate) limiter: Limiter,
    /// The allowances of workspaces, if the settings declare how exactly they are kept.
    pub(crate) allowances: Option<Allowances>,
    summaries: Mutex<Bucket>,
    failures: Mutex<RecentFailures>,
    /// The running requests whose calls failed.
    pub(crate) failed_calls: RecentIds,
    /// The requests that were dispatched to the servers of this node, with what their calls inherit.
    pub(crate) dispatched_ids: RecentIds<Importance>,
    /// The running requests that were sent to another server before, and whose calls are therefore
    /// repeats as well.
    pub(crate) repeated_runs: RecentIds,
    /// The limit on repeated requests to the servers of this node.
    pub(crate) repeats: Repeats,
    /// The planned stop of this node.
    pub(crate) stop: Stop,
    /// The departures of servers that this node confirmed, and those that it keeps for others.
    pub(crate) departures: Departures,
    /// The accepted items that control instances announced.
    pub(crate) announced: Announced,
    /// The items that this node knows, from which the configuration is built.
    view: Mutex<View>,
    configuration: RwLock<Arc<Configuration>>,
    remote_servers: RwLock<Arc<Vec<RemoteServer>>>,
    token: RwLock<Arc<String>>,
    /// The addresses of control instances, which may change while the node runs.
    control: RwLock<Arc<Vec<SocketAddr>>>,
    /// What this node knows of the completeness of its items.
    pub(crate) completeness: Completeness,
    /// What outlasts a restart.
    state: Arc<StateFile>,
    awaited_revision: AtomicU64,
    threads: AtomicU64,
}

impl Shared {
    /// Returns the addresses of the control instances in the settings.
    pub(crate) fn control(&self) -> Arc<Vec<SocketAddr>> {
        Arc::clone(&self.control.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the addresses of control instances and seeds by those of changed settings.
    pub(crate) fn set_addresses(&self, settings: &Settings) {
        let control = Arc::new(settings.control.clone());
        *self.control.write().unwrap_or_else(PoisonError::into_inner) = control;
        self.cluster.membership().gossip.set_seeds(settings.gossip_seeds());
    }

    /// Returns the state of a node that has just started.
    pub(crate) fn new(
        settings: Settings,
        interface: Arc<dyn Interface>,
        token: String,
        state: Arc<StateFile>,
    ) -> Arc<Self> {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clock = Clock::start_counting_suspension();
        let events = Buffer::new(settings.node.clone(), MAX_EVENTS);
        let incarnation = millis(started);
        let cluster = Cluster::new(&settings, incarnation, clock.now());
        let (lease, order) = (settings.lease(), settings.admission.into());
        // Permits come from register groups, which only the catalogue's control instances assign.
        let tries_suspects_last = settings.source == Source::Items;
        let control = RwLock::new(Arc::new(settings.control.clone()));
        let retry_limit = settings.retry_budget.map(|budget| repeats::Limit {
            ratio: budget.ratio,
            slack: budget.slack,
            window: Duration::try_from_secs_f64(budget.window_s).unwrap_or_default(),
        });
        let allowances = settings
            .allowance
            .map(|allowance| Allowances::new(allowance, &settings.node, incarnation));
        let server_body_bytes = settings.server_body_bytes();
        let body_memory = Memory::new(settings.body_bytes());
        let bodies = Bodies::new(Arc::clone(&body_memory));
        let message_bodies = Bodies::new(Memory::new(settings.message_bytes()));
        let streams = Places::new(MAX_STREAMS);
        let departures = Departures::new(settings.source, clock.now());
        Arc::new(Self {
            settings,
            interface,
            clock,
            incarnation,
            servers: ServerTable::new(clock, lease, tries_suspects_last)
                .with_state(Arc::clone(&state))
                .with_body_limit(server_body_bytes)
                .with_order(order),
            metrics: Metrics::default(),
            events,
            cluster,
            body_memory,
            bodies,
            message_bodies,
            streams,
            slow_readers: Readers::default(),
            limiter: Limiter::default(),
            allowances,
            summaries: Mutex::new(Bucket::new(SUMMARIES_PER_SECOND, SUMMARY_BURST, clock.now())),
            failures: Mutex::default(),
            failed_calls: RecentIds::default(),
            dispatched_ids: RecentIds::default(),
            repeated_runs: RecentIds::default(),
            repeats: Repeats::new(retry_limit, clock.now()),
            stop: Stop::default(),
            departures,
            announced: Announced::default(),
            view: Mutex::default(),
            configuration: RwLock::default(),
            remote_servers: RwLock::default(),
            token: RwLock::new(Arc::new(token)),
            control,
            completeness: Completeness::new(!state.is_covered_by(&Table::default())),
            state,
            awaited_revision: AtomicU64::new(0),
            threads: AtomicU64::new(0),
        })
    }

    /// Returns the configuration in force.
    pub(crate) fn configuration(&self) -> Arc<Configuration> {
        Arc::clone(&self.configuration.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Puts `newer` into force unless it is older than the configuration in force or than a
    /// revision that a backend server has reported; returns whether it did.
    pub(crate) fn adopt(&self, newer: Configuration) -> bool {
        let mut current = self.configuration.write().unwrap_or_else(PoisonError::into_inner);
        if !newer.is_newer_than(&current) || newer.revision() < self.awaited_revision() {
            return false;
        }
        *current = Arc::new(newer);
        true
    }

    /// Returns whether the configuration in force may be used.
    pub(crate) fn is_configured(&self) -> bool {
        let known = !self.configuration().is_empty();
        known && (self.settings.source == Source::Catalogue || self.completeness.may_be_used())
    }

    /// Returns whether requests on routes that are not public need an API key. A node that lacks a
    /// workspace may lack all of them, and must not take that for a fleet without workspaces.
    pub(crate) fn requires_keys(&self, configuration: &Configuration) -> bool {
        configuration.requires_keys() || self.completeness.is_behind()
    }

    /// Returns the highest revision that a backend server has reported.
    pub(crate) fn awaited_revision(&self) -> Revision {
        self.awaited_revision.load(Ordering::Relaxed)
    }

    /// Records a revision that a backend server reported.
    pub(crate) fn raise_awaited_revision(&self, revision: Revision) {
        self.awaited_revision.fetch_max(revision, Ordering::Relaxed);
    }

    /// Returns the servers of other nodes in ascending order of service and name.
    pub(crate) fn remote_servers(&self) -> Arc<Vec<RemoteServer>> {
        Arc::clone(&self.remote_servers.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the servers of other nodes.
    pub(crate) fn set_remote_servers(&self, mut remote_servers: Vec<RemoteServer>) {
        remote_servers.sort_by(|left, right| {
            let order = (&left.service, &left.server).cmp(&(&right.service, &right.server));
            order.then(right.incarnation.cmp(&left.incarnation))
        });
        // A server that moved is still listed by its old owner, under a lower incarnation.
        remote_servers.dedup_by(|next, kept| next.server == kept.server);
        *self.remote_servers.write().unwrap_or_else(PoisonError::into_inner) =
            Arc::new(remote_servers);
    }

    /// Records that a request to control failed.
    pub(crate) fn record_control_failure(&self) {
        let event = self.cluster.control_contact().record_failure(self.clock.now());
        self.record_contact(event);
    }

    /// Records the event of a change of the contact with control, if there is one.
    pub(crate) fn record_contact(&self, event: Option<Kind>) {
        if let Some(kind) = event {
            self.events.record(Draft::new(kind));
        }
    }

    /// Returns the retry budget of one service at this node as an entry.
    ///
    pub(crate) fn retry_budget(&self) -> RetryBudget {
        match self.settings.retry_budget {
            Some(_) => RetryBudget::unlimited(),
            None => RetryBudget::default(),
        }
    }

    /// Returns the number of servers of `service` in the fleet.
    pub(crate) fn server_count(&self, service: &str) -> usize {
        let remote_servers = self.remote_servers();
        let remote = remote_servers.iter().filter(|server| server.service == service).count();
        remote + self.servers.count(service)
    }

    /// Returns the secret that processes of the fleet share.
    pub(crate) fn token(&self) -> Arc<String> {
        Arc::clone(&self.token.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns whether `candidate` is the shared secret, in a time that does not depend on its
    /// content.
    pub(crate) fn accepts_token(&self, candidate: &[u8]) -> bool {
        self.settings.token_file.is_none() || self.token().as_bytes().ct_eq(candidate).into()
    }

    /// Reads the shared secret again, so that it can be replaced without a restart.
    pub(crate) fn reload_token(&self) {
        let Some(path) = &self.settings.token_file else { return };
        let Ok(token) = read_token(path) else { return };
        if token == *self.token() {
            return;
        }
        *self.token.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(token);
    }

    /// Returns the number of the next traffic thread, counted from 0.
    pub(crate) fn next_thread(&self) -> u64 {
        self.threads.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns whether one more summary may be attached to a request. Half of the burst is reserved
    /// for urgent summaries.
    pub(crate) fn may_attach_summary(&self, urgent: bool, now: Time) -> bool {
        let reserve = if urgent { 0 } else { SUMMARY_BURST / 2 };
        self.summaries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take_with_reserve(reserve, now)
    }

    /// Locks the table of requests that failed recently.
    pub(crate) fn failures(&self) -> MutexGuard<'_, RecentFailures> {
        self.failures.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the node is in a planned stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.has_begun()
    }
}

/// Reads a secret from a file; surrounding white space is ignored.
pub(crate) fn read_token(path: &Path) -> std::io::Result<String> {
    let token = std::fs::read_to_string(path)?.trim().to_string();
    match token.is_empty() {
        true => Err(std::io::Error::other("the file is empty")),
        false => Ok(token),
    }
}

//! The membership state machine of one process.
//!
//! Each process regularly compares its table and its configuration with a random peer (an exchange),
//! pushes changes to a few random peers, and probes the peers that it exchanges with.

mod incoming;
mod outgoing;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_core::id::{NodeId, Revision};
use arbutuslane_core::rng::Rng;
use arbutuslane_core::time::Time;
use rand::RngExt;

use crate::configuration::{Delta, History, Position};
use crate::detector::Detector;
use crate::effect::{CallId, Effect, RequestId};
use crate::message::{Digest, Message, RecordWithView};
use crate::record::{Record, Server, Standing, View};
use crate::table::Table;

/// The mean time between two exchanges of a process after its startup.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// The time over which changes are batched before they are pushed; limits a node to 15 pushes a
/// second, however many nodes fail at once.
pub const PUSH_INTERVAL: Duration = Duration::from_millis(200);

/// The number of peers that each change is pushed to. Pushes reach 94% of the fleet; exchanges reach
/// the rest.
pub const PUSH_FANOUT: usize = 3;

/// The minimum time between two confirmation probes of a process, each of which uses several
/// helpers; limits the probe traffic when many nodes fail at once.
pub const CONFIRMATION_PROBE_INTERVAL: Duration = Duration::from_millis(750);

/// The number of times that a refutation is pushed. A node with half of its links cut reaches
/// another node in one of 12 pushes.
const REFUTATION_PUSHES: u32 = 4;

/// The maximum number of changes in one push.
pub const MAX_CHANGES_PER_PUSH: usize = 128;

/// The timeout of a direct request; several times the round trip between regions.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The timeout of a probe through a helper, which takes two direct requests.
pub const HELPER_TIMEOUT: Duration = Duration::from_secs(1);

/// The time for which dead and departed nodes stay in the table, so that two parts of the fleet can
/// reconnect after a partition.
pub const DEAD_NODE_RETENTION: Duration = Duration::from_secs(3_600);

/// The number of peers that a process must hear from after its start before it puts a revision in
/// force.
pub const STARTUP_PEERS: usize = 3;

/// The time that a process waits after its start for lease renewals of its backend servers, which
/// carry the last revision that they received: one and a half renewal intervals of 1 s.
pub const STARTUP_RENEWAL_WAIT: Duration = Duration::from_millis(1_500);

/// The maximum time that a revision waits for an acknowledgement by a backend server; a server that
/// is silent for longer has lost its lease.
pub const ACKNOWLEDGEMENT_TIMEOUT: Duration = Duration::from_secs(3);

/// One in this many exchanges, on average, goes to a dead node, so that the parts of the fleet
/// reconnect after a partition.
const DEAD_EXCHANGE_PERIOD: u32 = 16;

/// One in this many exchanges goes to a seed that is not a known member, if there is such a seed.
const SEED_EXCHANGE_PERIOD: usize = 5;

/// Why an outgoing request was sent.
#[derive(Debug, Clone)]
enum Purpose {
    /// An exchange, with `node` if the receiver is known; with `probe`, also a liveness probe.
    Exchange { node: Option<NodeId>, probe: bool },
    /// The second step of an exchange.
    Compare { buckets: Vec<u16> },
    /// A request to a helper to probe `node`.
    IndirectProbe { node: NodeId },
    /// A probe of `node` as a helper; the result answers `request`.
    ProbeOnBehalf { node: NodeId, request: RequestId },
    /// A fetch of newer configuration.
    Fetch,
    /// A push or an offer, whose response has no content.
    Send,
}

/// A change that waits to be pushed.
#[derive(Debug, Clone)]
struct QueuedUpdate {
    node: NodeId,
    /// Whether the record changed, and not only the view of a known record.
    includes_record: bool,
}

/// An outgoing request that waits for its response.
#[derive(Debug, Clone)]
struct PendingCall {
    call: CallId,
    address: String,
    purpose: Purpose,
}

/// The membership state machine of one process.
#[derive(Debug, Clone)]
pub struct Gossip {
    own_record: Arc<Record>,
    own_view: View,
    table: Table,
    detector: Detector,
    history: History,
    seeds: Vec<String>,
    pending_calls: Vec<PendingCall>,
    queued_updates: VecDeque<QueuedUpdate>,
    next_call: CallId,
    next_exchange: Time,
    exchange_count: usize,
    next_push: Time,
    next_confirmation_probe: Time,
    /// The number of further pushes of the current refutation.
    refutations_left: u32,
    next_cleanup: Time,
    /// Whether the position changed since the last push.
    position_changed: bool,
    fetch_pending: bool,
    started_at: Time,
    /// The peers that this process has heard from during startup.
    contacted: Vec<NodeId>,
    startup_complete: bool,
    /// The newest position of the peers heard from during startup.
    required_position: Position,
    /// The newest revision that a backend server of this node has received.
    required_revision: Revision,
    /// The position whose revision is sent to the backend servers.
    server_position: Option<Position>,
    /// The newest position that a backend server has acknowledged, or whose wait timed out.
    acknowledged: Option<Position>,
    unacknowledged_since: Option<Time>,
    last_renewal: Option<Time>,
}

impl Gossip {
    /// Replaces the seeds, the addresses through which this process finds its first peers.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// Returns the state of a new process with `record`, which finds its first peers at the addresses
    /// in `seeds`.
    pub fn new(now: Time, record: Record, seeds: Vec<String>) -> Self {
        let own_record = Arc::new(record);
        let own_view = View { round: 0, standing: Standing::Alive };
        let mut table = Table::default();
        table.merge(now, &RecordWithView { record: Arc::clone(&own_record), view: own_view });
        let queued_updates =
            VecDeque::from([QueuedUpdate { node: own_record.node.clone(), includes_record: true }]);
        Self {
            own_record,
            own_view,
            table,
            detector: Detector::default(),
            history: History::default(),
            seeds,
            pending_calls: Vec::new(),
            queued_updates,
            next_call: 0,
            next_exchange: now,
            exchange_count: 0,
            next_push: now,
            next_confirmation_probe: now,
            refutations_left: 0,
            next_cleanup: now + DEAD_NODE_RETENTION / 60,
            position_changed: false,
            fetch_pending: false,
            started_at: now,
            contacted: Vec::new(),
            startup_complete: false,
            required_position: Position::default(),
            required_revision: 0,
            server_position: None,
            acknowledged: None,
            unacknowledged_since: None,
            last_renewal: None,
        }
    }

    /// Replaces the table by that of another process, so that this process does not start with an
    /// empty one.
    pub fn replace_table(&mut self, now: Time, mut table: Table) {
        table.merge(
            now,
            &RecordWithView { record: Arc::clone(&self.own_record), view: self.own_view },
        );
        self.table = table;
    }

    /// Returns this process's own record.
    pub fn record(&self) -> &Record {
        &self.own_record
    }

    /// Returns the table of all known nodes.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the newest known position, which may be ahead of [`Gossip::in_force`].
    pub fn position(&self) -> Position {
        self.history.position()
    }

    /// Returns the encoded state at [`Gossip::position`] and the retained deltas.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Replaces the servers in this process's own record if they differ.
    pub fn set_servers(&mut self, now: Time, mut servers: Vec<Server>) {
        servers.sort_by(|left, right| left.id.cmp(&right.id));
        if servers == self.own_record.servers {
            return;
        }
        let mut record = Record::clone(&self.own_record);
        record.servers = servers;
        record.version += 1;
        self.publish_own_state(now, record);
    }

    /// Announces that this process is leaving.
    pub fn leave(&mut self, now: Time) {
        self.own_view.standing = Standing::Left;
        self.publish_own_state(now, Record::clone(&self.own_record));
    }

    /// Records the lease renewal of a backend server of this node; returns the revision to send in the
    /// response.
    ///
    /// `known` is the last revision that the server received. A revision comes into force once a
    /// server has acknowledged it in this way. When this process restarts, its servers therefore know
    /// every revision that it had in force. [`ACKNOWLEDGEMENT_TIMEOUT`] limits the wait for servers
    /// that do not return the revisions that they receive.
    pub fn record_renewal(&mut self, now: Time, known: Revision) -> Revision {
        self.last_renewal = Some(now);
        self.required_revision = self.required_revision.max(known);
        if let Some(server_position) = self.server_position
            && known >= server_position.revision
        {
            self.acknowledged = self.server_position;
        }
        if self.acknowledged >= self.server_position {
            self.server_position = Some(self.history.position());
        }
        self.server_position.map_or(0, |server_position| server_position.revision)
    }

    /// Records that the replicated state is now at `position`.
    ///
    /// `deltas` lead from the previous position to `position`, and are empty if it is unknown;
    /// `snapshot` is the encoded state.
    pub fn install(&mut self, position: Position, deltas: Vec<Delta>, snapshot: Arc<[u8]>) {
        if self.history.install(position, deltas, snapshot) {
            self.position_changed = true;
        }
    }

    /// Returns the position that this process has in force.
    ///
    /// Returns `None` after a start until this process has heard from [`STARTUP_PEERS`] peers, or from
    /// all if there are fewer, and has reached the newest position of these peers and the newest
    /// revision that its own servers received. Its revision is therefore not lower than it was before
    /// the restart.
    pub fn in_force(&self) -> Option<Position> {
        let position = self.acknowledged?;
        let is_ready = self.startup_complete
            && position >= self.required_position
            && position.revision >= self.required_revision;
        is_ready.then_some(position)
    }

    /// Runs the actions that are due; must be called at least every 100 ms.
    pub fn tick(&mut self, now: Time, rng: &mut Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now >= self.next_exchange {
            let interval = if self.startup_complete { EXCHANGE_INTERVAL } else { PUSH_INTERVAL };
            let delay = interval.mul_f64(rng.random_range(0.8..1.2));
            self.next_exchange = now + delay;
            self.start_exchange(rng, &mut effects);
        }
        if now >= self.next_confirmation_probe
            && let Some(node) = self.detector.due_suspects(now).first()
        {
            self.next_confirmation_probe = now + CONFIRMATION_PROBE_INTERVAL;
            self.probe_suspect(node, &mut effects);
        }
        if now >= self.next_push && self.refutations_left > 0 {
            self.refutations_left -= 1;
            let node = self.own_record.node.clone();
            self.queue_update(&node, false);
        }
        if now >= self.next_push && (self.position_changed || !self.queued_updates.is_empty()) {
            self.next_push = now + PUSH_INTERVAL;
            self.push_updates(rng, &mut effects);
        }
        if now >= self.next_cleanup {
            self.next_cleanup = now + DEAD_NODE_RETENTION / 60;
            self.table.remove_departed(now.saturating_sub(DEAD_NODE_RETENTION));
        }
        self.check_startup(now);
        self.check_acknowledgement(now);
        effects
    }

    /// Treats the newest position as acknowledged when there are no servers, or when none of them
    /// acknowledges it in time.
    fn check_acknowledgement(&mut self, now: Time) {
        let newest = Some(self.history.position());
        if self.acknowledged >= newest {
            self.unacknowledged_since = None;
            return;
        }
        let waiting_since = *self.unacknowledged_since.get_or_insert(now);
        let without_servers =
            self.last_renewal.is_none_or(|renewed| now >= renewed + ACKNOWLEDGEMENT_TIMEOUT);
        if without_servers || now >= waiting_since + ACKNOWLEDGEMENT_TIMEOUT {
            self.server_position = newest;
            self.acknowledged = newest;
        }
    }

    /// Publishes a changed record or view of this process.
    fn publish_own_state(&mut self, now: Time, record: Record) {
        self.own_record = Arc::new(record);
        self.table.merge(
            now,
            &RecordWithView { record: Arc::clone(&self.own_record), view: self.own_view },
        );
        let node = self.own_record.node.clone();
        self.queue_update(&node, true);
    }

    /// Queues the record or only the view of a node for the next push.
    fn queue_update(&mut self, node: &str, includes_record: bool) {
        if let Some(update) = self.queued_updates.iter_mut().find(|update| update.node == node) {
            update.includes_record |= includes_record;
            return;
        }
        self.queued_updates.push_back(QueuedUpdate { node: node.to_string(), includes_record });
    }

    fn digest(&self) -> Digest {
        Digest {
            node: self.own_record.node.clone(),
            incarnation: self.own_record.incarnation,
            position: self.history.position(),
            hash: self.table.hash(),
        }
    }

    fn send_request(
        &mut self,
        address: String,
        message: Message,
        purpose: Purpose,
        timeout: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let call = self.next_call;
        self.next_call += 1;
        self.pending_calls.push(PendingCall { call, address: address.clone(), purpose });
        effects.push(Effect::Call { call, address, message, timeout });
    }

    /// Completes the startup once the renewal wait is over and enough peers have responded.
    fn check_startup(&mut self, now: Time) {
        if self.startup_complete || now < self.started_at + STARTUP_RENEWAL_WAIT {
            return;
        }
        let others = self.table.members().filter(|known| known.record.node != self.own_record.node);
        let required_count = others.take(STARTUP_PEERS).count();
        self.startup_complete =
            self.contacted.len() >= required_count && (required_count > 0 || self.seeds.is_empty());
    }
}

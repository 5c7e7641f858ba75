//! The state machine of one process: exchanges, pushes, probes and configuration.

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
use crate::effect::{Call, Effect, Ticket};
use crate::message::{Digest, Held, Message};
use crate::record::{Record, Server, Standing, View};
use crate::table::Table;

/// The time between two exchanges of a process.
pub const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// The time over which changes are collected before they are pushed; bounds the pushes of a node to
/// 15 a second, however many nodes fail at once.
pub const PUSH_INTERVAL: Duration = Duration::from_millis(200);

/// The number of peers that a change is pushed to: reaches 94% of the fleet, the exchanges the rest.
pub const FANOUT: usize = 3;

/// The time between two deciding probes of a process, each of which asks several helpers; bounds the
/// probes when many nodes fail at once.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(750);

/// The number of times that a refutation is pushed: a node with half of its links cut reaches
/// another node in one of 12 pushes.
const REFUTATIONS: u32 = 4;

/// The number of changes in one push.
pub const PUSH_LIMIT: usize = 128;

/// The time after which a direct request has failed; several times the round trip between regions.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// The time after which a helper's answer is no longer waited for: two direct requests.
pub const HELPER_TIMEOUT: Duration = Duration::from_secs(1);

/// The time for which dead and departed nodes are remembered, so that two parts of the fleet find
/// each other again after a partition.
pub const DEAD_KEPT: Duration = Duration::from_secs(3_600);

/// The number of peers that a started process asks before it puts a revision in force.
pub const STARTUP_ANSWERS: usize = 3;

/// The time that a started process waits for the renewals of the servers beside it, which carry the
/// revision that they were told: one renewal interval of 1 s and half of the next.
pub const STARTUP_WAIT: Duration = Duration::from_millis(1_500);

/// The longest time for which a revision waits for a server to show that it was told; a server that
/// is silent for longer has lost its lease.
pub const CONFIRM_WAIT: Duration = Duration::from_secs(3);

/// One exchange in this many goes to a dead node, which finds the other part after a partition.
const DEAD_SHARE: u32 = 16;

/// One exchange in this many goes to a seed that is not known as a member, where there is one.
const SEED_PERIOD: usize = 5;

/// Why an outgoing request was sent.
#[derive(Debug, Clone)]
enum Purpose {
    /// An exchange; it also tells whether a known node answers.
    Exchange { node: Option<NodeId>, probe: bool },
    /// The second step of an exchange.
    Compare { buckets: Vec<u16> },
    /// A probe asked of a helper about `node`.
    Helper { node: NodeId },
    /// A probe on behalf of another node.
    OnBehalf { node: NodeId, ticket: Ticket },
    /// A fetch of newer configuration.
    Fetch,
    /// A push or an offer, whose answer carries nothing.
    Send,
}

/// A change that is still to be pushed.
#[derive(Debug, Clone)]
struct Rumour {
    node: NodeId,
    /// True for a changed record, false for a changed view of a known record.
    full: bool,
}

#[derive(Debug, Clone)]
struct Pending {
    call: Call,
    address: String,
    purpose: Purpose,
}

/// The membership code of one process.
#[derive(Debug, Clone)]
pub struct Gossip {
    own: Arc<Record>,
    view: View,
    table: Table,
    detector: Detector,
    history: History,
    seeds: Vec<String>,
    pending: Vec<Pending>,
    rumours: VecDeque<Rumour>,
    next_call: Call,
    next_exchange: Time,
    exchanges: usize,
    next_push: Time,
    next_probe: Time,
    refuting: u32,
    next_forget: Time,
    announce: bool,
    fetching: bool,
    started: Time,
    asked: Vec<NodeId>,
    settled: bool,
    required: Position,
    required_revision: Revision,
    told: Option<Position>,
    confirmed: Option<Position>,
    unconfirmed: Option<Time>,
    renewed_at: Option<Time>,
}

impl Gossip {
    /// Replaces the addresses at which peers are looked for while none is known.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// Starts the process of `record`, which knows its peers by the addresses in `seeds`.
    pub fn new(now: Time, record: Record, seeds: Vec<String>) -> Self {
        let own = Arc::new(record);
        let view = View { round: 0, standing: Standing::Alive };
        let mut table = Table::default();
        table.merge(now, &Held { record: Arc::clone(&own), view });
        let rumours = VecDeque::from([Rumour { node: own.node.clone(), full: true }]);
        Self {
            own,
            view,
            table,
            detector: Detector::default(),
            history: History::default(),
            seeds,
            pending: Vec::new(),
            rumours,
            next_call: 0,
            next_exchange: now,
            exchanges: 0,
            next_push: now,
            next_probe: now,
            refuting: 0,
            next_forget: now + DEAD_KEPT / 60,
            announce: false,
            fetching: false,
            started: now,
            asked: Vec::new(),
            settled: false,
            required: Position::default(),
            required_revision: 0,
            told: None,
            confirmed: None,
            unconfirmed: None,
            renewed_at: None,
        }
    }

    /// Starts from the table of another process instead of from an empty one.
    pub fn resume(&mut self, now: Time, mut table: Table) {
        table.merge(now, &Held { record: Arc::clone(&self.own), view: self.view });
        self.table = table;
    }

    /// Returns this process's own record.
    pub fn record(&self) -> &Record {
        &self.own
    }

    /// Returns all known nodes.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the newest known position, which is not in force before [`Gossip::in_force`] is.
    pub fn position(&self) -> Position {
        self.history.position()
    }

    /// Returns the encoded state at [`Gossip::position`] and the deltas that lead there.
    pub fn history(&self) -> &History {
        &self.history
    }

    /// Replaces the servers in this process's own record when they differ.
    pub fn set_servers(&mut self, now: Time, mut servers: Vec<Server>) {
        servers.sort_by(|left, right| left.id.cmp(&right.id));
        if servers == self.own.servers {
            return;
        }
        let mut record = Record::clone(&self.own);
        record.servers = servers;
        record.version += 1;
        self.publish(now, record);
    }

    /// Announces the departure of this process.
    pub fn leave(&mut self, now: Time) {
        self.view.standing = Standing::Left;
        self.publish(now, Record::clone(&self.own));
    }

    /// Takes the revision that a backend server of this node was told, and returns the revision to
    /// tell it in the response to its renewal.
    ///
    /// A revision comes into force once a server has shown that it was told. When this process
    /// restarts, its servers therefore know every revision that it had in force. [`CONFIRM_WAIT`]
    /// bounds the wait for servers that do not pass on what they are told.
    pub fn renewed(&mut self, now: Time, known: Revision) -> Revision {
        self.renewed_at = Some(now);
        self.required_revision = self.required_revision.max(known);
        if let Some(told) = self.told
            && known >= told.revision
        {
            self.confirmed = self.told;
        }
        if self.confirmed >= self.told {
            self.told = Some(self.history.position());
        }
        self.told.map_or(0, |told| told.revision)
    }

    /// Reports that the replicated state is now at `position`.
    ///
    /// `deltas` lead from the former position when that is known; `snapshot` is the encoded state.
    pub fn install(&mut self, position: Position, deltas: Vec<Delta>, snapshot: Arc<[u8]>) {
        if self.history.install(position, deltas, snapshot) {
            self.announce = true;
        }
    }

    /// Returns the position that this process has in force.
    ///
    /// A started process has none until it has asked [`STARTUP_ANSWERS`] peers, or all that there
    /// are, has what the furthest of them has, and has what its own servers were told. Its revision
    /// therefore does not fall behind that of its earlier life.
    pub fn in_force(&self) -> Option<Position> {
        let position = self.confirmed?;
        let ready = self.settled
            && position >= self.required
            && position.revision >= self.required_revision;
        ready.then_some(position)
    }

    /// Does what is due; to be called at least every 100 ms.
    pub fn tick(&mut self, now: Time, rng: &mut Rng) -> Vec<Effect> {
        let mut effects = Vec::new();
        if now >= self.next_exchange {
            let interval = if self.settled { EXCHANGE_INTERVAL } else { PUSH_INTERVAL };
            let spread = interval.mul_f64(rng.random_range(0.8..1.2));
            self.next_exchange = now + spread;
            self.exchange(rng, &mut effects);
        }
        if now >= self.next_probe
            && let Some(node) = self.detector.due(now).first()
        {
            self.next_probe = now + PROBE_INTERVAL;
            self.probe(node, &mut effects);
        }
        if now >= self.next_push && self.refuting > 0 {
            self.refuting -= 1;
            let node = self.own.node.clone();
            self.spread(&node, false);
        }
        if now >= self.next_push && (self.announce || !self.rumours.is_empty()) {
            self.next_push = now + PUSH_INTERVAL;
            self.push(rng, &mut effects);
        }
        if now >= self.next_forget {
            self.next_forget = now + DEAD_KEPT / 60;
            self.table.forget(now.saturating_sub(DEAD_KEPT));
        }
        self.settle(now);
        self.confirm(now);
        effects
    }

    /// Confirms a position without servers, or when they do not show that they were told.
    fn confirm(&mut self, now: Time) {
        let newest = Some(self.history.position());
        if self.confirmed >= newest {
            self.unconfirmed = None;
            return;
        }
        let since = *self.unconfirmed.get_or_insert(now);
        let alone = self.renewed_at.is_none_or(|renewed| now >= renewed + CONFIRM_WAIT);
        if alone || now >= since + CONFIRM_WAIT {
            self.told = newest;
            self.confirmed = newest;
        }
    }

    /// Publishes a changed record or view of this process.
    fn publish(&mut self, now: Time, record: Record) {
        self.own = Arc::new(record);
        self.table.merge(now, &Held { record: Arc::clone(&self.own), view: self.view });
        let node = self.own.node.clone();
        self.spread(&node, true);
    }

    fn spread(&mut self, node: &str, full: bool) {
        if let Some(rumour) = self.rumours.iter_mut().find(|rumour| rumour.node == node) {
            rumour.full |= full;
            return;
        }
        self.rumours.push_back(Rumour { node: node.to_string(), full });
    }

    fn digest(&self) -> Digest {
        Digest {
            node: self.own.node.clone(),
            incarnation: self.own.incarnation,
            position: self.history.position(),
            hash: self.table.hash(),
        }
    }

    fn call(
        &mut self,
        address: String,
        message: Message,
        purpose: Purpose,
        timeout: Duration,
        effects: &mut Vec<Effect>,
    ) {
        let call = self.next_call;
        self.next_call += 1;
        self.pending.push(Pending { call, address: address.clone(), purpose });
        effects.push(Effect::Call { call, address, message, timeout });
    }

    fn settle(&mut self, now: Time) {
        if self.settled || now < self.started + STARTUP_WAIT {
            return;
        }
        let others = self.table.members().filter(|known| known.record.node != self.own.node);
        let wanted = others.take(STARTUP_ANSWERS).count();
        self.settled = self.asked.len() >= wanted && (wanted > 0 || self.seeds.is_empty());
    }
}

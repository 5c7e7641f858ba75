//! The state of the fleet that the threads of a node share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arbutuslane_catalogue::border::Snapshot;
use arbutuslane_core::hash;
use arbutuslane_core::id::{Incarnation, Revision};
use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Time;
use arbutuslane_member::prelude::{Delta, Gossip, Payload, Position, Record};
use arbutuslane_record::message::{Request, Response};
use arbutuslane_wire::codec;
use rand::RngExt;

use crate::settings::Settings;
use crate::shared::Shared;

use super::contact::ControlContact;
use super::delta;
use super::registers::Registers;
use super::strikes::StrikeTable;
use super::trials::Trials;

/// Membership, configurations, register replicas and strikes as this node knows them.
#[derive(Debug)]
pub(crate) struct Cluster {
    membership: Mutex<Membership>,
    /// The replicas of quorum registers that this node hosts.
    pub(crate) registers: Registers,
    /// The strikes against requests that crashed servers.
    pub(crate) strikes: StrikeTable,
    /// The runs of requests with strikes.
    pub(crate) trials: Trials,
    next_request_id: AtomicU64,
    control_contact: Mutex<ControlContact>,
}

/// Membership, and the configurations from the one in force to the newest known one.
#[derive(Debug)]
pub(crate) struct Membership {
    /// The gossip state machine.
    pub(crate) gossip: Gossip,
    /// The random number generator of the gossip state machine.
    pub(crate) rng: Rng,
    /// The configurations in ascending order of their position; never empty.
    snapshots: Vec<Arc<Snapshot>>,
}

impl Cluster {
    /// Returns the state of a node that knows only the addresses of its settings.
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation, now: Time) -> Self {
        let advertised = settings.advertised();
        let mut record =
            Record::new(&settings.node, incarnation, &advertised.to_string(), &settings.domain);
        record.callers = settings.callers.to_string();
        record.release = env!("CARGO_PKG_VERSION").to_string();
        let gossip = Gossip::new(now, record, settings.gossip_seeds());
        let rng = rng::seeded(rand::rng().random());
        let registers = Registers::new(&settings.node, incarnation);
        let membership = Mutex::new(Membership { gossip, rng, snapshots: vec![Arc::default()] });
        let control_contact = ControlContact::new(now, hash::of_bytes(settings.node.as_bytes()));
        let control_contact = Mutex::new(control_contact);
        Self {
            membership,
            registers,
            strikes: StrikeTable::default(),
            trials: Trials::default(),
            next_request_id: AtomicU64::new(0),
            control_contact,
        }
    }

    /// Locks the state of the contact with control.
    pub(crate) fn control_contact(&self) -> MutexGuard<'_, ControlContact> {
        self.control_contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks membership.
    pub(crate) fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a number that is unique among the incoming gossip requests of this process.
    pub(crate) fn next_request_id(&self) -> u64 {
        self.next_request_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the `peers` address of a member.
    pub(crate) fn peer_address(&self, node: &str) -> Option<SocketAddr> {
        let membership = self.membership();
        let known = membership.gossip.table().get(node).filter(|known| known.is_member())?;
        known.record.peers.parse().ok()
    }

    /// Handles a request to a register replica of this node.
    pub(crate) fn handle_register(&self, shared: &Shared, request: &Request) -> Response {
        let headroom = match request {
            Request::Permit(permit) => {
                let configuration = shared.configuration();
                let entry = configuration.entry(&permit.service);
                entry.map_or(0, |entry| self.headroom(&permit.service, entry.floor))
            }
            _ => 0,
        };
        self.registers.handle(shared.clock.now(), request, headroom)
    }

    /// Returns the number of live servers of a service above its floor.
    pub(crate) fn headroom(&self, service: &str, floor: u32) -> u32 {
        self.membership().gossip.table().live_servers(service).saturating_sub(floor)
    }

    /// Records the revision that a backend server reported with its renewal, and returns the
    /// revision for its lease.
    pub(crate) fn lease_revision(&self, now: Time, reported: Revision) -> Revision {
        self.membership().gossip.record_renewal(now, reported)
    }

    /// Installs a configuration from control or from a file if it is newer than every known one.
    pub(crate) fn install_snapshot(&self, now: Time, snapshot: Snapshot) {
        let mut membership = self.membership();
        let delta = delta::between(membership.newest(), &snapshot);
        membership.install(now, snapshot, delta.into_iter().collect(), &self.registers);
    }

    /// Installs the snapshot or the deltas that another process sent.
    pub(crate) fn install(&self, now: Time, payload: Payload) {
        let mut membership = self.membership();
        match payload {
            Payload::Snapshot { bytes, .. } => match codec::decode::<Snapshot>(&bytes) {
                Ok(snapshot) => membership.install(now, snapshot, Vec::new(), &self.registers),
                Err(error) => tracing::warn!(event = "bad-snapshot", %error),
            },
            Payload::Deltas(deltas) => {
                for delta in deltas {
                    let Some(next) = delta::apply(membership.newest(), &delta) else { continue };
                    membership.install(now, next, vec![delta], &self.registers);
                }
            }
        }
    }

    /// Returns the newest configuration that may be in force, and drops the older ones.
    pub(crate) fn in_force(&self) -> Option<Arc<Snapshot>> {
        let mut membership = self.membership();
        let position = membership.gossip.in_force()?;
        let may_be_in_force = |snapshot: &Arc<Snapshot>| delta::position(snapshot) <= position;
        let index = membership.snapshots.iter().rposition(may_be_in_force)?;
        membership.snapshots.drain(..index);
        Some(Arc::clone(&membership.snapshots[0]))
    }
}

impl Membership {
    fn newest(&self) -> &Snapshot {
        self.snapshots
            .last()
            .expect("the list of configurations starts with the empty one and is never empty")
    }

    fn install(
        &mut self,
        now: Time,
        snapshot: Snapshot,
        deltas: Vec<Delta>,
        registers: &Registers,
    ) {
        let position: Position = delta::position(&snapshot);
        if position <= self.gossip.position() {
            return;
        }
        let Ok(bytes) = codec::encode(&snapshot) else { return };
        registers.adopt(now, &snapshot.groups);
        self.gossip.install(position, deltas, bytes.into());
        self.snapshots.push(Arc::new(snapshot));
    }
}

//! What the threads of a node share about the fleet.

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

use super::contact::Contact;
use super::delta;
use super::registers::Registers;
use super::strikes::Known;

/// What the threads of a node share about the fleet.
#[derive(Debug)]
pub(crate) struct Cluster {
    member: Mutex<Member>,
    /// The replicas of quorum registers that this node keeps.
    pub(crate) registers: Registers,
    /// The requests that crashed servers.
    pub(crate) strikes: Known,
    tickets: AtomicU64,
    contact: Mutex<Contact>,
}

/// Membership, and the configurations that are not yet superseded by the one in force.
#[derive(Debug)]
pub(crate) struct Member {
    /// The state machine.
    pub(crate) gossip: Gossip,
    /// The generator for its random choices.
    pub(crate) rng: Rng,
    /// In ascending order of their position; the last one is the newest known.
    known: Vec<Arc<Snapshot>>,
}

impl Cluster {
    /// Returns the state of a node that knows only the addresses of its settings.
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation, now: Time) -> Self {
        let advertised = settings.advertised();
        let mut record =
            Record::new(&settings.node, incarnation, &advertised.to_string(), &settings.domain);
        record.callers = settings.callers.to_string();
        record.release = env!("CARGO_PKG_VERSION").to_string();
        let gossip = Gossip::new(now, record, settings.first_peers());
        let rng = rng::seeded(rand::rng().random());
        let registers = Registers::new(&settings.node, incarnation);
        let member = Mutex::new(Member { gossip, rng, known: vec![Arc::default()] });
        let contact = Contact::new(now, hash::of_bytes(settings.node.as_bytes()));
        let contact = Mutex::new(contact);
        Self { member, registers, strikes: Known::default(), tickets: AtomicU64::new(0), contact }
    }

    /// Locks what is known of the contact with control.
    pub(crate) fn contact(&self) -> MutexGuard<'_, Contact> {
        self.contact.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks membership.
    pub(crate) fn member(&self) -> MutexGuard<'_, Member> {
        self.member.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a number for an incoming request.
    pub(crate) fn ticket(&self) -> u64 {
        self.tickets.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the `peers` address of a member.
    pub(crate) fn address(&self, node: &str) -> Option<SocketAddr> {
        let member = self.member();
        let known = member.gossip.table().get(node).filter(|known| known.is_member())?;
        known.record.peers.parse().ok()
    }

    /// Answers a request for a replica of this node.
    pub(crate) fn register(&self, shared: &Shared, request: &Request) -> Response {
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
        self.member().gossip.table().live_servers(service).saturating_sub(floor)
    }

    /// Takes the revision that a backend server was told; returns the one to tell it.
    pub(crate) fn renewed(&self, now: Time, known: Revision) -> Revision {
        self.member().gossip.renewed(now, known)
    }

    /// Takes over a configuration when it is newer than every known one.
    pub(crate) fn learn(&self, now: Time, snapshot: Snapshot) {
        let mut member = self.member();
        let step = delta::between(member.newest(), &snapshot);
        member.install(now, snapshot, step.into_iter().collect(), &self.registers);
    }

    /// Takes over what another process sent.
    pub(crate) fn apply(&self, now: Time, payload: Payload) {
        let mut member = self.member();
        match payload {
            Payload::Snapshot { bytes, .. } => match codec::decode::<Snapshot>(&bytes) {
                Ok(snapshot) => member.install(now, snapshot, Vec::new(), &self.registers),
                Err(error) => tracing::warn!(event = "bad-snapshot", %error),
            },
            Payload::Deltas(deltas) => {
                for step in deltas {
                    let Some(snapshot) = delta::apply(member.newest(), &step) else { continue };
                    member.install(now, snapshot, vec![step], &self.registers);
                }
            }
        }
    }

    /// Returns the newest configuration that may be put in force.
    pub(crate) fn in_force(&self) -> Option<Arc<Snapshot>> {
        let mut member = self.member();
        let position = member.gossip.in_force()?;
        let fits = |snapshot: &Arc<Snapshot>| delta::position(snapshot) <= position;
        let index = member.known.iter().rposition(fits)?;
        member.known.drain(..index);
        Some(Arc::clone(&member.known[0]))
    }
}

impl Member {
    fn newest(&self) -> &Snapshot {
        self.known.last().expect("the empty configuration comes first")
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
        self.known.push(Arc::new(snapshot));
    }
}

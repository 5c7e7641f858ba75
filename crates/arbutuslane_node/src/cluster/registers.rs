//! The replicas of quorum registers that this node keeps.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use arbutuslane_catalogue::border;
use arbutuslane_core::id::{Incarnation, NodeId, Shard};
use arbutuslane_core::time::Time;
use arbutuslane_record::message::{Holding, Refusal, Request, Response};
use arbutuslane_record::prelude::{Group, Member, Seat};
use arbutuslane_record::store::Limits;

/// The registers that a node keeps in all its replicas: 66 MB at 132 bytes each, half of the 128 MB
/// that a node may spend on control.
const REGISTERS: usize = 500_000;

/// The bytes of kept responses in all replicas of a node, a quarter of that memory.
const ANSWER_BYTES: usize = 32 << 20;

/// The slots of a replica that are looked at for expired registers in one sweep.
const SWEEP: usize = 256;

/// The replicas that this node keeps.
#[derive(Debug)]
pub(crate) struct Registers {
    node: NodeId,
    incarnation: Incarnation,
    /// All groups in ascending order of their shard.
    groups: RwLock<Arc<Vec<Group>>>,
    /// In ascending order of the shard.
    seats: RwLock<Vec<(Shard, Arc<Mutex<Seat>>)>>,
}

impl Registers {
    /// Returns the registers of a node that keeps no replica yet.
    pub(crate) fn new(node: &str, incarnation: Incarnation) -> Self {
        let (groups, seats) = (RwLock::default(), RwLock::default());
        Self { node: node.to_string(), incarnation, groups, seats }
    }

    /// Returns all groups in ascending order of their shard.
    pub(crate) fn groups(&self) -> Arc<Vec<Group>> {
        Arc::clone(&self.groups.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adopts the groups of a configuration.
    pub(crate) fn adopt(&self, now: Time, groups: &[border::Group]) {
        let groups: Vec<Group> = groups.iter().map(group).collect();
        let mut seats = self.seats.write().unwrap_or_else(PoisonError::into_inner);
        let own = groups.iter().filter(|group| group.place(&self.node).is_some()).count().max(1);
        let limits = Limits { registers: REGISTERS / own, answer_bytes: ANSWER_BYTES / own };
        for group in &groups {
            let index = seats.binary_search_by_key(&group.shard, |(shard, _)| *shard);
            match index {
                Ok(index) => {
                    let seat = Arc::clone(&seats[index].1);
                    let mut seat = seat.lock().unwrap_or_else(PoisonError::into_inner);
                    if !seat.adopt(now, group.clone()) {
                        seats.remove(index);
                    }
                }
                Err(index) if group.place(&self.node).is_some() => {
                    let seat =
                        Seat::join_with(now, &self.node, self.incarnation, group.clone(), limits);
                    seats.insert(index, (group.shard, Arc::new(Mutex::new(seat))));
                }
                Err(_) => {}
            }
        }
        *self.groups.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(groups);
    }

    /// Answers a request for a replica of this node; `headroom` is for permits.
    pub(crate) fn handle(&self, now: Time, request: &Request, headroom: u32) -> Response {
        let shard = match request {
            Request::Claim(claim) | Request::Complete { claim, .. } => claim.shard,
            Request::Withdraw { shard, .. } | Request::Pull { shard, .. } => *shard,
            Request::Permit(request) => request.shard,
        };
        let Some(seat) = self.seat(shard) else {
            return match request {
                Request::Claim(_) => {
                    let holding = Holding::Refused(Refusal::NoReplica);
                    Response::Claim { epoch: 0, incarnations: Vec::new(), holding }
                }
                _ => Response::Done,
            };
        };
        let mut seat = seat.lock().unwrap_or_else(PoisonError::into_inner);
        match request {
            Request::Permit(request) => seat.permit(now, request, headroom),
            _ => seat.handle(now, request),
        }
    }

    /// Returns the requests that recovering replicas have to send.
    pub(crate) fn pulls(&self) -> Vec<(NodeId, Request)> {
        let mut pulls = Vec::new();
        for seat in self.seats() {
            pulls.extend(seat.lock().unwrap_or_else(PoisonError::into_inner).pulls());
        }
        pulls
    }

    /// Takes the response to a pull.
    pub(crate) fn pulled(&self, now: Time, from: &str, request: &Request, response: &Response) {
        let Request::Pull { shard, cursor, .. } = request else { return };
        let Some(seat) = self.seat(*shard) else { return };
        let mut seat = seat.lock().unwrap_or_else(PoisonError::into_inner);
        seat.pulled(now, from, *cursor, response);
        if seat.is_voting() {
            tracing::info!(event = "replica-recovered", shard, registers = seat.store().len());
        }
    }

    /// Drops expired registers.
    pub(crate) fn sweep(&self, now: Time) {
        for seat in self.seats() {
            let mut seat = seat.lock().unwrap_or_else(PoisonError::into_inner);
            seat.store_mut().sweep(now, SWEEP);
        }
    }

    /// Returns the numbers of replicas, of voting ones among them, and of registers.
    pub(crate) fn count(&self) -> (usize, usize, usize) {
        let (mut replicas, mut voting, mut registers) = (0, 0, 0);
        for seat in self.seats() {
            let seat = seat.lock().unwrap_or_else(PoisonError::into_inner);
            replicas += 1;
            voting += usize::from(seat.is_voting());
            registers += seat.store().len();
        }
        (replicas, voting, registers)
    }

    /// Returns the shards whose groups this node votes in, with their epochs.
    pub(crate) fn votes(&self) -> Vec<(u32, u64)> {
        let mut votes = Vec::new();
        for seat in self.seats() {
            let seat = seat.lock().unwrap_or_else(PoisonError::into_inner);
            if seat.is_voting() {
                votes.push((seat.group().shard, seat.group().epoch));
            }
        }
        votes
    }

    fn seat(&self, shard: Shard) -> Option<Arc<Mutex<Seat>>> {
        let seats = self.seats.read().unwrap_or_else(PoisonError::into_inner);
        let index = seats.binary_search_by_key(&shard, |(shard, _)| *shard).ok()?;
        Some(Arc::clone(&seats[index].1))
    }

    fn seats(&self) -> Vec<Arc<Mutex<Seat>>> {
        let seats = self.seats.read().unwrap_or_else(PoisonError::into_inner);
        seats.iter().map(|(_, seat)| Arc::clone(seat)).collect()
    }
}

/// Returns the group as the record crate sees it; nothing is expected in memory at the first epoch and
/// after a reset.
fn group(group: &border::Group) -> Group {
    let mut members = Vec::new();
    for member in &group.members {
        members.push(Member { node: member.node.clone(), incarnation: member.incarnation });
    }
    Group {
        shard: group.shard,
        epoch: group.epoch,
        founding: group.founding || group.epoch == 1,
        members,
    }
}

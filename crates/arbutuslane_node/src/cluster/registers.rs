//! The replicas of quorum registers that this node hosts.

use std::sync::{Arc, Mutex, PoisonError, RwLock};

use arbutuslane_catalogue::border;
use arbutuslane_core::id::{Incarnation, NodeId, Shard};
use arbutuslane_core::time::Time;
use arbutuslane_record::message::{ClaimResult, Refusal, Request, Response};
use arbutuslane_record::prelude::{Group, Member, RegisterReplica};
use arbutuslane_record::store::Limits;

/// The most registers in all replicas of a node together: 66 MB at 132 bytes each, which is half of
/// the 128 MB that a node may use for control.
const MAX_REGISTERS: usize = 500_000;

/// The most bytes of stored responses in all replicas of a node together, a quarter of that memory.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// The slots of a replica that one sweep checks for expired registers.
const SLOTS_PER_SWEEP: usize = 256;

/// The register groups of the fleet, and the replicas that this node hosts.
#[derive(Debug)]
pub(crate) struct Registers {
    node: NodeId,
    incarnation: Incarnation,
    /// All groups in ascending order of their shard.
    groups: RwLock<Arc<Vec<Group>>>,
    /// The replicas in ascending order of their shard.
    replicas: RwLock<Vec<(Shard, Arc<Mutex<RegisterReplica>>)>>,
}

impl Registers {
    /// Returns the state of a node that hosts no replica yet.
    pub(crate) fn new(node: &str, incarnation: Incarnation) -> Self {
        let (groups, replicas) = (RwLock::default(), RwLock::default());
        Self { node: node.to_string(), incarnation, groups, replicas }
    }

    /// Returns all groups in ascending order of their shard.
    pub(crate) fn groups(&self) -> Arc<Vec<Group>> {
        Arc::clone(&self.groups.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Adopts the groups of a configuration: adds, updates and removes the replicas of this node.
    pub(crate) fn adopt(&self, now: Time, groups: &[border::Group]) {
        let groups: Vec<Group> = groups.iter().map(convert_group).collect();
        let mut replicas = self.replicas.write().unwrap_or_else(PoisonError::into_inner);
        let own_groups =
            groups.iter().filter(|group| group.member_index(&self.node).is_some()).count().max(1);
        let limits = Limits {
            registers: MAX_REGISTERS / own_groups,
            answer_bytes: MAX_RESPONSE_BYTES / own_groups,
        };
        for group in &groups {
            let index = replicas.binary_search_by_key(&group.shard, |(shard, _)| *shard);
            match index {
                Ok(index) => {
                    let replica = Arc::clone(&replicas[index].1);
                    let mut replica = replica.lock().unwrap_or_else(PoisonError::into_inner);
                    if !replica.adopt(now, group.clone()) {
                        replicas.remove(index);
                    }
                }
                Err(index) if group.member_index(&self.node).is_some() => {
                    let replica = RegisterReplica::join_with(
                        now,
                        &self.node,
                        self.incarnation,
                        group.clone(),
                        limits,
                    );
                    replicas.insert(index, (group.shard, Arc::new(Mutex::new(replica))));
                }
                Err(_) => {}
            }
        }
        *self.groups.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(groups);
    }

    /// Handles a request to a replica of this node. `headroom` is the number of live servers above
    /// the floor of the service; only requests for permits use it.
    pub(crate) fn handle(&self, now: Time, request: &Request, headroom: u32) -> Response {
        let shard = match request {
            Request::Claim(claim) | Request::Complete { claim, .. } => claim.shard,
            Request::Withdraw { shard, .. } | Request::Pull { shard, .. } => *shard,
            Request::Permit(request) => request.shard,
        };
        let Some(replica) = self.replica(shard) else {
            return match request {
                Request::Claim(_) => {
                    let result = ClaimResult::Refused(Refusal::NoReplica);
                    Response::Claim { epoch: 0, incarnations: Vec::new(), result }
                }
                _ => Response::Done,
            };
        };
        let mut replica = replica.lock().unwrap_or_else(PoisonError::into_inner);
        match request {
            Request::Permit(request) => replica.handle_permit(now, request, headroom),
            _ => replica.handle(now, request),
        }
    }

    /// Returns the requests that recovering replicas have to send.
    pub(crate) fn pulls(&self) -> Vec<(NodeId, Request)> {
        let mut pulls = Vec::new();
        for replica in self.replicas() {
            pulls.extend(replica.lock().unwrap_or_else(PoisonError::into_inner).pulls());
        }
        pulls
    }

    /// Hands the response to a pull to the recovering replica.
    pub(crate) fn handle_pull_response(
        &self,
        now: Time,
        from: &str,
        request: &Request,
        response: &Response,
    ) {
        let Request::Pull { shard, cursor, .. } = request else { return };
        let Some(replica) = self.replica(*shard) else { return };
        let mut replica = replica.lock().unwrap_or_else(PoisonError::into_inner);
        replica.pulled(now, from, *cursor, response);
        if replica.is_voting() {
            tracing::info!(event = "replica-recovered", shard, registers = replica.store().len());
        }
    }

    /// Removes expired registers.
    pub(crate) fn sweep(&self, now: Time) {
        for replica in self.replicas() {
            let mut replica = replica.lock().unwrap_or_else(PoisonError::into_inner);
            replica.store_mut().sweep(now, SLOTS_PER_SWEEP);
        }
    }

    /// Returns the numbers of replicas, of voting replicas and of registers.
    pub(crate) fn counts(&self) -> (usize, usize, usize) {
        let (mut replicas, mut voting, mut registers) = (0, 0, 0);
        for replica in self.replicas() {
            let replica = replica.lock().unwrap_or_else(PoisonError::into_inner);
            replicas += 1;
            voting += usize::from(replica.is_voting());
            registers += replica.store().len();
        }
        (replicas, voting, registers)
    }

    /// Returns the shards in whose groups this node votes, with the epochs of the groups.
    pub(crate) fn votes(&self) -> Vec<(u32, u64)> {
        let mut votes = Vec::new();
        for replica in self.replicas() {
            let replica = replica.lock().unwrap_or_else(PoisonError::into_inner);
            if replica.is_voting() {
                votes.push((replica.group().shard, replica.group().epoch));
            }
        }
        votes
    }

    fn replica(&self, shard: Shard) -> Option<Arc<Mutex<RegisterReplica>>> {
        let replicas = self.replicas.read().unwrap_or_else(PoisonError::into_inner);
        let index = replicas.binary_search_by_key(&shard, |(shard, _)| *shard).ok()?;
        Some(Arc::clone(&replicas[index].1))
    }

    fn replicas(&self) -> Vec<Arc<Mutex<RegisterReplica>>> {
        let replicas = self.replicas.read().unwrap_or_else(PoisonError::into_inner);
        replicas.iter().map(|(_, replica)| Arc::clone(replica)).collect()
    }
}

/// Converts a group to the type of the record crate. A group at its first epoch or after a reset is
/// founding: its members have no registers to recover.
fn convert_group(group: &border::Group) -> Group {
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

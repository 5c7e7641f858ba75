//! One replica of a shard, which is recovering or voting.

use arbutuslane_core::id::{Incarnation, NodeId};
use arbutuslane_core::time::Time;

use crate::group::Group;
use crate::message::{Claim, ClaimResult, Refusal, Request, Response};
use crate::permit::GrantTable;
use crate::store::{BOOKING_RETENTION, Limits, Store};

/// The state of a replica that may lack registers accepted in an earlier incarnation of its node.
#[derive(Debug, Clone)]
pub struct Recovering {
    /// The time at which the recovery started.
    started: Time,
    sources: Vec<Source>,
}

/// The state of a replica that has every register for which its acceptance counts.
#[derive(Debug, Clone)]
pub struct Voting;

/// The progress of the recovery from one other member.
#[derive(Debug, Clone)]
struct Source {
    member_index: usize,
    incarnations: Vec<Incarnation>,
    /// The slot of the next page, or `None` after the last page.
    cursor: Option<u32>,
    /// Whether the member has sent a page of the current epoch, even if it did not vote.
    has_adopted: bool,
}

/// One replica of a shard in the state `S`, which is [`Recovering`] or [`Voting`].
#[derive(Debug, Clone)]
pub struct Replica<S> {
    node: NodeId,
    /// The index of this replica among the group's members.
    own_index: usize,
    group: Group,
    /// The latest known incarnation of each member, in the group's order.
    incarnations: Vec<Incarnation>,
    store: Store,
    grants: GrantTable,
    state: S,
}

/// A replica in either state.
#[derive(Debug, Clone)]
pub enum RegisterReplica {
    /// The replica pulls registers and does not vote.
    Recovering(Replica<Recovering>),
    /// The replica votes on claims.
    Voting(Replica<Voting>),
}

impl<S> Replica<S> {
    /// Returns the group that the replica has adopted.
    pub fn group(&self) -> &Group {
        &self.group
    }

    /// Returns the registers.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the requested page; it is empty unless the replica votes in the epoch of the
    /// request.
    fn handle_pull(&mut self, now: Time, request: &Request, voting: bool) -> Response {
        let Request::Pull { epoch, node, incarnation, cursor, .. } = request else {
            return Response::Done;
        };
        let mut copies = Vec::new();
        let mut next = None;
        // The sender may adopt this replica's epoch before it gets the response. It would then take
        // an empty page of a voting replica as proof that the shard has no registers.
        let voting = voting && *epoch == self.group.epoch;
        if *epoch == self.group.epoch {
            // The responses to later claims carry the sender's new incarnation, so that their
            // coordinators do not count acceptances of the sender's earlier incarnation.
            if let Some(index) = self.group.member_index(node) {
                self.incarnations[index] = self.incarnations[index].max(*incarnation);
            }
            if voting {
                (copies, next) = self.store.page(now, *cursor);
            }
        }
        let incarnations = self.incarnations.clone();
        Response::Page { epoch: self.group.epoch, voting, incarnations, copies, next }
    }

    fn into_state<T>(self, state: T) -> Replica<T> {
        let Self { node, own_index, group, incarnations, store, grants, .. } = self;
        Replica { node, own_index, group, incarnations, store, grants, state }
    }

    /// Replaces the group by one of a newer epoch; returns false when this node is not a member of
    /// it.
    fn move_to_group(&mut self, group: Group) -> bool {
        let Some(index) = group.member_index(&self.node) else { return false };
        let mut incarnations = Vec::new();
        for member in &group.members {
            let known =
                self.group.member_index(&member.node).map_or(0, |index| self.incarnations[index]);
            incarnations.push(known.max(member.incarnation));
        }
        self.incarnations = incarnations;
        self.own_index = index;
        self.group = group;
        true
    }
}

impl Replica<Voting> {
    /// Handles a claim: accepts the first attempt for a register and refuses a claim of another
    /// epoch.
    pub fn claim(&mut self, now: Time, claim: &Claim) -> Response {
        let result = if claim.epoch == self.group.epoch {
            self.store.claim(now, claim)
        } else {
            ClaimResult::Refused(Refusal::Epoch)
        };
        Response::Claim { epoch: self.group.epoch, incarnations: self.incarnations.clone(), result }
    }
}

impl Replica<Recovering> {
    /// Returns the requests for the next page of every member that has not been pulled entirely.
    pub fn pulls(&self) -> Vec<(NodeId, Request)> {
        let mut pulls = Vec::new();
        for (member_index, member) in self.group.members.iter().enumerate() {
            let source =
                self.state.sources.iter().find(|source| source.member_index == member_index);
            let cursor = source.map_or(Some(0), |source| source.cursor);
            let (false, Some(cursor)) = (member_index == self.own_index, cursor) else { continue };
            let request = Request::Pull {
                shard: self.group.shard,
                epoch: self.group.epoch,
                node: self.node.clone(),
                incarnation: self.incarnations[self.own_index],
                cursor,
            };
            pulls.push((member.node.clone(), request));
        }
        pulls
    }

    /// Merges a page of the member `from`, the response to a pull from `cursor`.
    pub fn pulled(&mut self, now: Time, from: &str, cursor: u32, response: &Response) {
        let Response::Page { epoch, voting, incarnations, copies, next } = response else { return };
        let Some(member_index) = self.group.member_index(from) else { return };
        if *epoch != self.group.epoch || incarnations.len() != self.group.members.len() {
            return;
        }
        if incarnations[self.own_index] > self.incarnations[self.own_index] {
            // The node's clock went back over a restart, so its incarnation is lower than before.
            // Only a higher one keeps coordinators from counting what the earlier incarnation
            // accepted.
            self.incarnations[self.own_index] = incarnations[self.own_index] + 1;
            self.state.sources.clear();
            return;
        }
        let sources = &mut self.state.sources;
        let index = match sources.iter().position(|source| source.member_index == member_index) {
            Some(index) => index,
            None => {
                let source = Source {
                    member_index,
                    incarnations: incarnations.clone(),
                    cursor: Some(0),
                    has_adopted: true,
                };
                sources.push(source);
                sources.len() - 1
            }
        };
        let source = &mut sources[index];
        source.has_adopted = true;
        if !voting || source.incarnations[member_index] != incarnations[member_index] {
            // The source restarted, so its slots have another order and the pull starts over.
            source.cursor = Some(0);
            source.incarnations.clone_from(incarnations);
            if !voting || cursor != 0 {
                return;
            }
        }
        if source.cursor != Some(cursor) {
            return;
        }
        source.cursor = *next;
        merge_incarnations(&mut source.incarnations, incarnations);
        merge_incarnations(&mut self.incarnations, incarnations);
        for copy in copies {
            self.store.merge(now, copy);
        }
        self.restart_outdated_sources();
    }

    /// Returns true when [`Group::recovery_quorum`] other members have been pulled entirely, or
    /// when every claim of an earlier incarnation is past its retention.
    pub fn is_complete(&self, now: Time) -> bool {
        let completed = self.state.sources.iter().filter(|source| source.cursor.is_none()).count();
        completed >= self.group.recovery_quorum() || now >= self.state.started + BOOKING_RETENTION
    }

    /// Returns the replica in the voting state.
    pub fn into_voting(self) -> Replica<Voting> {
        self.into_state(Voting)
    }

    /// Restarts the pull from every source for which a later incarnation is known.
    ///
    /// The restarted source may have recovered before any member knew of this replica's pull, and
    /// may accept claims that count acceptances of this replica's earlier incarnation.
    fn restart_outdated_sources(&mut self) {
        for source in &mut self.state.sources {
            if source.incarnations[source.member_index] < self.incarnations[source.member_index] {
                source.cursor = Some(0);
            }
        }
    }

    /// Returns the number of other members that are known to have adopted the epoch.
    fn count_adopted(&self) -> usize {
        self.state.sources.iter().filter(|source| source.has_adopted).count()
    }
}

impl RegisterReplica {
    /// Returns the replica of `node` in `group` without registers and with the default memory
    /// limits.
    ///
    /// # Panics
    ///
    /// Panics when `node` is no member of `group`.
    pub fn join(now: Time, node: &str, incarnation: Incarnation, group: Group) -> Self {
        Self::join_with(now, node, incarnation, group, Limits::default())
    }

    /// Returns the replica of `node` in `group` without registers and with the given memory limits.
    ///
    /// It votes at once when it is a founding member of the group, and recovers otherwise.
    ///
    /// # Panics
    ///
    /// Panics when `node` is no member of `group`.
    pub fn join_with(
        now: Time,
        node: &str,
        incarnation: Incarnation,
        group: Group,
        limits: Limits,
    ) -> Self {
        let own_index = group.member_index(node).expect("the node is a member of the group");
        let is_founder = group.founding && group.members[own_index].incarnation == incarnation;
        let mut incarnations: Vec<Incarnation> =
            group.members.iter().map(|member| member.incarnation).collect();
        incarnations[own_index] = incarnation;
        let mut replica = Replica {
            node: node.to_string(),
            own_index,
            group,
            incarnations,
            store: Store::new(limits),
            grants: GrantTable::default(),
            state: Recovering { started: now, sources: Vec::new() },
        };
        if is_founder {
            replica.grants.start_granting(now);
            return Self::Voting(replica.into_voting());
        }
        Self::Recovering(replica)
    }

    /// Returns the group that the replica has adopted.
    pub fn group(&self) -> &Group {
        match self {
            Self::Recovering(replica) => &replica.group,
            Self::Voting(replica) => &replica.group,
        }
    }

    /// Returns true when the replica votes.
    pub fn is_voting(&self) -> bool {
        matches!(self, Self::Voting(_))
    }

    /// Returns the registers.
    pub fn store(&self) -> &Store {
        match self {
            Self::Recovering(replica) => &replica.store,
            Self::Voting(replica) => &replica.store,
        }
    }

    /// Returns the registers for a sweep of expired ones.
    pub fn store_mut(&mut self) -> &mut Store {
        match self {
            Self::Recovering(replica) => &mut replica.store,
            Self::Voting(replica) => &mut replica.store,
        }
    }

    /// Handles any request except for permit requests, which [`RegisterReplica::handle_permit`] handles.
    pub fn handle(&mut self, now: Time, request: &Request) -> Response {
        match (&mut *self, request) {
            (Self::Voting(replica), Request::Claim(claim)) => return replica.claim(now, claim),
            (Self::Recovering(replica), Request::Claim(_)) => {
                return Response::Claim {
                    epoch: replica.group.epoch,
                    incarnations: replica.incarnations.clone(),
                    result: ClaimResult::Refused(Refusal::Recovering),
                };
            }
            (Self::Voting(replica), Request::Pull { .. }) => {
                return replica.handle_pull(now, request, true);
            }
            (Self::Recovering(replica), Request::Pull { .. }) => {
                return replica.handle_pull(now, request, false);
            }
            _ => {}
        }
        match request {
            Request::Withdraw { key, attempt, .. } => {
                self.store_mut().withdraw(now, *key, *attempt);
            }
            Request::Complete { claim, answer } => {
                self.store_mut().complete(now, claim, answer.clone());
            }
            _ => {}
        }
        Response::Done
    }

    /// Handles a permit request; `headroom` is the number of live servers of the service above its
    /// floor, as this node sees it.
    pub fn handle_permit(
        &mut self,
        now: Time,
        request: &crate::permit::Request,
        headroom: u32,
    ) -> Response {
        let (epoch, grants) = match self {
            Self::Recovering(replica) => (replica.group.epoch, &mut replica.grants),
            Self::Voting(replica) => (replica.group.epoch, &mut replica.grants),
        };
        Response::Permit(grants.handle(now, epoch, request, headroom))
    }

    /// Adopts the group of a newer epoch; returns false when this node is not a member of it.
    ///
    /// A replica that skips an epoch recovers again, because it may have been replaced in between.
    pub fn adopt(&mut self, now: Time, group: Group) -> bool {
        if group.epoch <= self.group().epoch {
            return true;
        }
        let keeps_voting = group.epoch == self.group().epoch + 1 || group.founding;
        match self {
            Self::Voting(replica) => {
                if !replica.move_to_group(group) {
                    return false;
                }
                if !keeps_voting {
                    replica.grants = GrantTable::default();
                    let state = Recovering { started: now, sources: Vec::new() };
                    *self = Self::Recovering(replica.clone().into_state(state));
                }
            }
            Self::Recovering(replica) => {
                replica.state.sources.clear();
                if !replica.move_to_group(group) {
                    return false;
                }
                let member_incarnation = replica.group.members[replica.own_index].incarnation;
                if replica.group.founding
                    && member_incarnation == replica.incarnations[replica.own_index]
                {
                    replica.grants.start_granting(now);
                    *self = Self::Voting(replica.clone().into_voting());
                }
            }
        }
        true
    }

    /// Returns the pull requests that a recovering replica has to send; a voting one has none.
    pub fn pulls(&self) -> Vec<(NodeId, Request)> {
        match self {
            Self::Recovering(replica) => replica.pulls(),
            Self::Voting(_) => Vec::new(),
        }
    }

    /// Merges the response to a pull from `cursor`; the replica votes once its recovery is
    /// complete.
    pub fn pulled(&mut self, now: Time, from: &str, cursor: u32, response: &Response) {
        let Self::Recovering(replica) = self else { return };
        replica.pulled(now, from, cursor, response);
        if replica.count_adopted() >= replica.group.recovery_quorum() {
            replica.grants.start_granting(now);
        }
        if replica.is_complete(now) {
            *self = Self::Voting(replica.clone().into_voting());
        }
    }
}

/// Raises each incarnation of `into` to that of `from` where it is lower.
fn merge_incarnations(into: &mut [Incarnation], from: &[Incarnation]) {
    for (into, from) in into.iter_mut().zip(from) {
        *into = (*into).max(*from);
    }
}

//! One replica of a shard, recovering or voting.

use arbutuslane_core::id::{Incarnation, NodeId};
use arbutuslane_core::time::Time;

use crate::group::Group;
use crate::message::{Claim, Holding, Refusal, Request, Response};
use crate::permit::Ledger;
use crate::store::{BOOKING_KEPT, Limits, Store};

/// A replica that may lack registers that its node accepted in an earlier incarnation.
#[derive(Debug, Clone)]
pub struct Recovering {
    since: Time,
    sources: Vec<Source>,
}

/// A replica that has every register that counts on it.
#[derive(Debug, Clone)]
pub struct Voting;

/// What has been pulled from one other member.
#[derive(Debug, Clone)]
struct Source {
    place: usize,
    incarnations: Vec<Incarnation>,
    cursor: Option<u32>,
    adopted: bool,
}

/// One replica of a shard in the state `S`.
#[derive(Debug, Clone)]
pub struct Replica<S> {
    node: NodeId,
    place: usize,
    group: Group,
    incarnations: Vec<Incarnation>,
    store: Store,
    ledger: Ledger,
    state: S,
}

/// A replica in either state.
#[derive(Debug, Clone)]
pub enum Seat {
    /// Does not vote.
    Recovering(Replica<Recovering>),
    /// Votes.
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

    fn page(&mut self, now: Time, request: &Request, voting: bool) -> Response {
        let Request::Pull { epoch, node, incarnation, cursor, .. } = request else {
            return Response::Done;
        };
        let mut copies = Vec::new();
        let mut next = None;
        // A puller that has adopted this epoch by the time it gets the response must not take an
        // empty page for the whole shard.
        let voting = voting && *epoch == self.group.epoch;
        if *epoch == self.group.epoch {
            // A claim accepted from here on carries the puller's new incarnation, which tells
            // its coordinator not to count what the puller accepted in an earlier incarnation.
            if let Some(place) = self.group.place(node) {
                self.incarnations[place] = self.incarnations[place].max(*incarnation);
            }
            if voting {
                (copies, next) = self.store.page(now, *cursor);
            }
        }
        let incarnations = self.incarnations.clone();
        Response::Page { epoch: self.group.epoch, voting, incarnations, copies, next }
    }

    fn into_state<T>(self, state: T) -> Replica<T> {
        let Self { node, place, group, incarnations, store, ledger, .. } = self;
        Replica { node, place, group, incarnations, store, ledger, state }
    }

    /// Moves to a newer epoch of the group; false when this node is no longer a member.
    fn move_to(&mut self, group: Group) -> bool {
        let Some(place) = group.place(&self.node) else { return false };
        let mut incarnations = Vec::new();
        for member in &group.members {
            let known = self.group.place(&member.node).map_or(0, |place| self.incarnations[place]);
            incarnations.push(known.max(member.incarnation));
        }
        self.incarnations = incarnations;
        self.place = place;
        self.group = group;
        true
    }
}

impl Replica<Voting> {
    /// Accepts the first attempt for a register and answers what the register holds.
    pub fn claim(&mut self, now: Time, claim: &Claim) -> Response {
        let holding = if claim.epoch == self.group.epoch {
            self.store.claim(now, claim)
        } else {
            Holding::Refused(Refusal::Epoch)
        };
        Response::Claim {
            epoch: self.group.epoch,
            incarnations: self.incarnations.clone(),
            holding,
        }
    }
}

impl Replica<Recovering> {
    /// Returns the requests for the pages that are still missing.
    pub fn pulls(&self) -> Vec<(NodeId, Request)> {
        let mut pulls = Vec::new();
        for (place, member) in self.group.members.iter().enumerate() {
            let source = self.state.sources.iter().find(|source| source.place == place);
            let cursor = source.map_or(Some(0), |source| source.cursor);
            let (false, Some(cursor)) = (place == self.place, cursor) else { continue };
            let request = Request::Pull {
                shard: self.group.shard,
                epoch: self.group.epoch,
                node: self.node.clone(),
                incarnation: self.incarnations[self.place],
                cursor,
            };
            pulls.push((member.node.clone(), request));
        }
        pulls
    }

    /// Takes a page of the member `from`, which was asked for `cursor`.
    pub fn pulled(&mut self, now: Time, from: &str, cursor: u32, response: &Response) {
        let Response::Page { epoch, voting, incarnations, copies, next } = response else { return };
        let Some(place) = self.group.place(from) else { return };
        if *epoch != self.group.epoch || incarnations.len() != self.group.members.len() {
            return;
        }
        if incarnations[self.place] > self.incarnations[self.place] {
            // The clock went back over a restart. Only a higher incarnation than that of the
            // earlier incarnation tells coordinators not to count what the earlier incarnation accepted.
            self.incarnations[self.place] = incarnations[self.place] + 1;
            self.state.sources.clear();
            return;
        }
        let sources = &mut self.state.sources;
        let index = match sources.iter().position(|source| source.place == place) {
            Some(index) => index,
            None => {
                let source = Source {
                    place,
                    incarnations: incarnations.clone(),
                    cursor: Some(0),
                    adopted: true,
                };
                sources.push(source);
                sources.len() - 1
            }
        };
        let source = &mut sources[index];
        source.adopted = true;
        if !voting || source.incarnations[place] != incarnations[place] {
            // The source restarted; its slots are in another order now.
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
        self.drop_outdated_sources();
    }

    /// Returns true when enough other members have been pulled from entirely, or when every claim
    /// of an earlier incarnation is past its retention.
    pub fn is_complete(&self, now: Time) -> bool {
        let done = self.state.sources.iter().filter(|source| source.cursor.is_none()).count();
        done >= self.group.recovery() || now >= self.state.since + BOOKING_KEPT
    }

    /// Starts to vote.
    pub fn vote(self) -> Replica<Voting> {
        self.into_state(Voting)
    }

    /// Pulls anew from a source that has restarted since, as another source tells.
    ///
    /// The restarted source may have recovered before this replica's pull was known anywhere, and
    /// accept claims that count this replica's earlier incarnation.
    fn drop_outdated_sources(&mut self) {
        for source in &mut self.state.sources {
            if source.incarnations[source.place] < self.incarnations[source.place] {
                source.cursor = Some(0);
            }
        }
    }

    fn adopted(&self) -> usize {
        self.state.sources.iter().filter(|source| source.adopted).count()
    }
}

impl Seat {
    /// Starts the replica of `node` in `group`; nothing in memory yet.
    ///
    /// # Panics
    ///
    /// Panics when `node` is no member of `group`.
    pub fn join(now: Time, node: &str, incarnation: Incarnation, group: Group) -> Self {
        Self::join_with(now, node, incarnation, group, Limits::default())
    }

    /// Starts a replica with the given memory limits.
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
        let place = group.place(node).expect("the node is a member of the group");
        let founder = group.founding && group.members[place].incarnation == incarnation;
        let mut incarnations: Vec<Incarnation> =
            group.members.iter().map(|member| member.incarnation).collect();
        incarnations[place] = incarnation;
        let mut replica = Replica {
            node: node.to_string(),
            place,
            group,
            incarnations,
            store: Store::new(limits),
            ledger: Ledger::default(),
            state: Recovering { since: now, sources: Vec::new() },
        };
        if founder {
            replica.ledger.open(now);
            return Self::Voting(replica.vote());
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

    /// Returns the registers, to drop what is no longer kept.
    pub fn store_mut(&mut self) -> &mut Store {
        match self {
            Self::Recovering(replica) => &mut replica.store,
            Self::Voting(replica) => &mut replica.store,
        }
    }

    /// Answers a request other than for a permit, which needs [`Seat::permit`].
    pub fn handle(&mut self, now: Time, request: &Request) -> Response {
        match (&mut *self, request) {
            (Self::Voting(replica), Request::Claim(claim)) => return replica.claim(now, claim),
            (Self::Recovering(replica), Request::Claim(_)) => {
                return Response::Claim {
                    epoch: replica.group.epoch,
                    incarnations: replica.incarnations.clone(),
                    holding: Holding::Refused(Refusal::Recovering),
                };
            }
            (Self::Voting(replica), Request::Pull { .. }) => {
                return replica.page(now, request, true);
            }
            (Self::Recovering(replica), Request::Pull { .. }) => {
                return replica.page(now, request, false);
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

    /// Answers a request for a permit; `headroom` is the number of live servers of the service
    /// above its floor, as this node sees it.
    pub fn permit(
        &mut self,
        now: Time,
        request: &crate::permit::Request,
        headroom: u32,
    ) -> Response {
        let (epoch, ledger) = match self {
            Self::Recovering(replica) => (replica.group.epoch, &mut replica.ledger),
            Self::Voting(replica) => (replica.group.epoch, &mut replica.ledger),
        };
        Response::Permit(ledger.handle(now, epoch, request, headroom))
    }

    /// Adopts a newer epoch; returns false when this node is no longer a member.
    ///
    /// A replica that skips an epoch may have been replaced in between and recovers.
    pub fn adopt(&mut self, now: Time, group: Group) -> bool {
        if group.epoch <= self.group().epoch {
            return true;
        }
        let next = group.epoch == self.group().epoch + 1 || group.founding;
        match self {
            Self::Voting(replica) => {
                if !replica.move_to(group) {
                    return false;
                }
                if !next {
                    replica.ledger = Ledger::default();
                    let state = Recovering { since: now, sources: Vec::new() };
                    *self = Self::Recovering(replica.clone().into_state(state));
                }
            }
            Self::Recovering(replica) => {
                replica.state.sources.clear();
                if !replica.move_to(group) {
                    return false;
                }
                let stored = replica.group.members[replica.place].incarnation;
                if replica.group.founding && stored == replica.incarnations[replica.place] {
                    replica.ledger.open(now);
                    *self = Self::Voting(replica.clone().vote());
                }
            }
        }
        true
    }

    /// Returns the requests that a recovering replica has to send; none when it votes.
    pub fn pulls(&self) -> Vec<(NodeId, Request)> {
        match self {
            Self::Recovering(replica) => replica.pulls(),
            Self::Voting(_) => Vec::new(),
        }
    }

    /// Takes the response to a pull for `cursor`; the replica votes once it has enough.
    pub fn pulled(&mut self, now: Time, from: &str, cursor: u32, response: &Response) {
        let Self::Recovering(replica) = self else { return };
        replica.pulled(now, from, cursor, response);
        if replica.adopted() >= replica.group.recovery() {
            replica.ledger.open(now);
        }
        if replica.is_complete(now) {
            *self = Self::Voting(replica.clone().vote());
        }
    }
}

fn merge_incarnations(into: &mut [Incarnation], from: &[Incarnation]) {
    for (into, from) in into.iter_mut().zip(from) {
        *into = (*into).max(*from);
    }
}

//! The state machine of a replica, in whichever role it has.

use arbutuslane_core::id::NodeId;
use arbutuslane_core::time::Time;

use crate::common::CommonState;
use crate::input::{Effect, Input, Refusal};
use crate::log::{Body, DurableState};
use crate::member::{Id, Member, is_voter};
use crate::message::Message;
use crate::replica::{Candidate, CatchingUp, Follower, Leader, PreCandidate, Replica};
use crate::timing::Timing;

/// A replica in one of its roles.
#[derive(Debug, Clone)]
pub enum Node {
    /// See [`CatchingUp`].
    CatchingUp(Replica<CatchingUp>),
    /// See [`Follower`].
    Follower(Replica<Follower>),
    /// See [`PreCandidate`].
    PreCandidate(Replica<PreCandidate>),
    /// See [`Candidate`].
    Candidate(Replica<Candidate>),
    /// See [`Leader`].
    Leader(Replica<Leader>),
}

/// Evaluates an expression with the replica of any role bound to a pattern.
macro_rules! with_replica {
    ($node:expr, $replica:pat => $result:expr) => {
        match $node {
            Node::CatchingUp($replica) => $result,
            Node::Follower($replica) => $result,
            Node::PreCandidate($replica) => $result,
            Node::Candidate($replica) => $result,
            Node::Leader($replica) => $result,
        }
    };
}

impl Node {
    /// Starts a replica from its durable state.
    ///
    /// The user of the node must start its state machine from the snapshot in `saved`. The random
    /// parts of election timeouts are derived from `seed`.
    pub fn start(saved: DurableState, timing: Timing, seed: u64, now: Time) -> Self {
        let common = CommonState::new(saved, timing, seed, now);
        Replica { common, role: Follower }.into_passive_role()
    }

    /// Sets the names of the instances from which an empty replica requests the log.
    pub fn with_known_names(mut self, names: Vec<NodeId>) -> Self {
        self.common_mut().known_names = names;
        self
    }

    /// Processes one input and returns the replica with the effects to carry out, in order.
    pub fn step(mut self, now: Time, input: Input) -> (Self, Vec<Effect>) {
        self.common_mut().now = now;
        let mut node = match input {
            Input::Tick => self.handle_tick(),
            Input::Message(envelope) => self.handle_message(envelope),
            Input::Written(sequence) => self.handle_written(sequence),
            Input::Propose { token, command } => self.handle_propose(token, command),
            Input::Read { token } => self.handle_read(token),
            Input::Reconfigure { token, change } => {
                match &mut self {
                    Self::Leader(leader) => leader.reconfigure(token, &change),
                    other => other.common_mut().refuse(token, Refusal::NotLeader),
                }
                self
            }
            Input::Compact { index, payload } => {
                self.common_mut().compact(index, payload);
                self
            }
        };
        node = node.update_role();
        let effects = std::mem::take(&mut node.common_mut().effects);
        (node, effects)
    }

    /// Returns the name of the role.
    pub fn role(&self) -> &'static str {
        match self {
            Self::CatchingUp(_) => "catching-up",
            Self::Follower(_) => "follower",
            Self::PreCandidate(_) => "pre-candidate",
            Self::Candidate(_) => "candidate",
            Self::Leader(_) => "leader",
        }
    }

    /// Returns the replica's own id.
    pub fn id(&self) -> &Id {
        &self.common().id
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.common().term
    }

    /// Returns the leader of the current term, or `None` when it is not known.
    pub fn leader(&self) -> Option<&Id> {
        self.common().leader.as_ref()
    }

    /// Returns the latest membership.
    pub fn members(&self) -> &[Member] {
        self.common().log.members()
    }

    /// Returns the index of the last applied entry.
    pub fn applied_index(&self) -> u64 {
        self.common().applied_index
    }

    /// Returns the index of the last committed entry.
    pub fn commit_index(&self) -> u64 {
        self.common().commit_index
    }

    /// Returns whether this replica leads and has applied every entry of earlier terms.
    pub fn is_established(&self) -> bool {
        match self {
            Self::Leader(leader) => leader.common.applied_index >= leader.role.first_index,
            _ => false,
        }
    }

    /// Returns the index up to which the durable log of another member is known to agree with this
    /// replica's log, or `None` when this replica does not lead or does not replicate to `id`.
    pub fn matched_index(&self, id: &Id) -> Option<u64> {
        match self {
            Self::Leader(leader) => leader.role.peers.get(id).map(|peer| peer.matched_index),
            _ => None,
        }
    }

    pub(crate) fn common(&self) -> &CommonState {
        with_replica!(self, replica => &replica.common)
    }

    pub(crate) fn common_mut(&mut self) -> &mut CommonState {
        with_replica!(self, replica => &mut replica.common)
    }

    fn handle_tick(self) -> Self {
        match self {
            Self::CatchingUp(mut replica) => {
                replica.request_log();
                Self::CatchingUp(replica)
            }
            Self::Leader(mut leader) => {
                if !leader.has_quorum() {
                    return Self::Leader(leader).step_down();
                }
                if leader.common.now >= leader.role.next_heartbeat_at {
                    leader.send_heartbeats();
                }
                leader.continue_membership_change();
                Self::Leader(leader)
            }
            node if node.common().now < node.common().election_deadline => node,
            node => with_replica!(node, replica => replica.start_pre_vote()),
        }
    }

    /// Abandons leadership or a campaign.
    pub(crate) fn step_down(mut self) -> Self {
        if let Self::Leader(leader) = &mut self {
            leader.refuse_pending_reads();
        }
        let common = self.common_mut();
        common.clear_leader();
        common.reset_election_deadline();
        with_replica!(self, replica => replica.into_passive_role())
    }

    /// Enters `term` if it is higher than the current one, and abandons leadership or a campaign.
    pub(crate) fn raise_term(mut self, term: u64) -> Self {
        if term <= self.common().term {
            return self;
        }
        if matches!(self, Self::CatchingUp(_) | Self::Follower(_)) {
            self.common_mut().raise_term(term);
            return self;
        }
        let mut node = self.step_down();
        node.common_mut().raise_term(term);
        node
    }

    /// Handles the completion of all writes up to `sequence`: sends messages that waited for them,
    /// counts this replica's own vote or commits entries, or acknowledges entries to the leader.
    fn handle_written(mut self, sequence: u64) -> Self {
        let durable_before = self.common().durable_index;
        self.common_mut().complete_writes(sequence);
        match self {
            Self::Candidate(replica) => replica.count_votes(),
            Self::Leader(mut leader) => {
                leader.advance_commit();
                leader.serve_reads();
                Self::Leader(leader)
            }
            mut node => {
                let common = node.common_mut();
                if common.durable_index > durable_before && common.verified_index > durable_before {
                    common.acknowledge(None);
                }
                node
            }
        }
    }

    fn handle_propose(mut self, token: u64, command: Vec<u8>) -> Self {
        match &mut self {
            Self::Leader(leader) => leader.propose(token, Body::Command(command)),
            other => other.common_mut().refuse(token, Refusal::NotLeader),
        }
        self
    }

    fn handle_read(mut self, token: u64) -> Self {
        if let Self::Leader(leader) = &mut self {
            leader.read(token, None);
            return self;
        }
        let common = self.common_mut();
        match common.leader.clone() {
            Some(leader) => {
                common.reads_awaiting_leader.push(token);
                common.send(&leader, Message::ReadIndex { read: token });
            }
            None => common.refuse(token, Refusal::NotLeader),
        }
        self
    }

    /// Changes the role when the log has made this replica a voter or removed it as one.
    fn update_role(self) -> Self {
        match self {
            Self::CatchingUp(replica) => {
                match is_voter(replica.common.log.members(), &replica.common.id) {
                    true => Self::Follower(replica.with_role(Follower)),
                    false => Self::CatchingUp(replica),
                }
            }
            Self::Leader(leader) if leader.is_removed() => Self::Leader(leader).step_down(),
            Self::Leader(leader) => Self::Leader(leader),
            node => match node.common().can_campaign() {
                true => node,
                false => node.step_down(),
            },
        }
    }
}

impl Replica<CatchingUp> {
    /// Requests the log from all known instances, unless a leader already sends it or the last
    /// request is too recent.
    fn request_log(&mut self) {
        let common = &mut self.common;
        if common.now < self.role.next_join_at
            || (common.leader.is_some() && common.has_recent_leader())
        {
            return;
        }
        self.role.next_join_at = common.now + common.timing.election_timeout_min;
        common.send_join_requests();
    }
}

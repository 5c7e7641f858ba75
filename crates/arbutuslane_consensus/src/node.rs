//! A replica in whichever role it has.

use arbutuslane_core::id::NodeId;
use arbutuslane_core::time::Time;

use crate::common::Common;
use crate::input::{Effect, Input, Refusal};
use crate::log::{Body, Saved};
use crate::member::{Id, Member, is_voter};
use crate::message::Message;
use crate::replica::{Candidate, CatchingUp, Follower, Leader, PreCandidate, Replica};
use crate::timing::Timing;

/// A replica in one of the roles.
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

macro_rules! each {
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
    /// Starts a replica from its durable state. The state machine starts from the snapshot.
    pub fn start(saved: Saved, timing: Timing, seed: u64, now: Time) -> Self {
        let common = Common::new(saved, timing, seed, now);
        Replica { common, role: Follower }.settle()
    }

    /// Names the instances that an empty replica asks for the log.
    pub fn with_known(mut self, names: Vec<NodeId>) -> Self {
        self.common_mut().known = names;
        self
    }

    /// Takes one input and returns the replica with what it wants done, in order.
    pub fn step(mut self, now: Time, input: Input) -> (Self, Vec<Effect>) {
        self.common_mut().now = now;
        let mut node = match input {
            Input::Tick => self.tick(),
            Input::Message(envelope) => self.receive(envelope),
            Input::Written(sequence) => self.written(sequence),
            Input::Propose { token, command } => self.propose(token, command),
            Input::Read { token } => self.read(token),
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
        node = node.check_role();
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

    /// Returns the leader of the current term, where known.
    pub fn leader(&self) -> Option<&Id> {
        self.common().leader.as_ref()
    }

    /// Returns the latest membership.
    pub fn members(&self) -> &[Member] {
        self.common().log.members()
    }

    /// Returns the index of the last applied entry.
    pub fn applied(&self) -> u64 {
        self.common().applied
    }

    /// Returns the index of the last committed entry.
    pub fn commit(&self) -> u64 {
        self.common().commit
    }

    /// Returns whether this replica leads and has applied every entry of earlier terms.
    pub fn is_established(&self) -> bool {
        match self {
            Self::Leader(leader) => leader.common.applied >= leader.role.first_index,
            _ => false,
        }
    }

    /// Returns the index up to which another member's durable log is known to agree; only a leader
    /// knows it.
    pub fn matched(&self, id: &Id) -> Option<u64> {
        match self {
            Self::Leader(leader) => leader.role.peers.get(id).map(|peer| peer.matched),
            _ => None,
        }
    }

    pub(crate) fn common(&self) -> &Common {
        each!(self, replica => &replica.common)
    }

    pub(crate) fn common_mut(&mut self) -> &mut Common {
        each!(self, replica => &mut replica.common)
    }

    fn tick(self) -> Self {
        match self {
            Self::CatchingUp(mut replica) => {
                replica.ask_to_join();
                Self::CatchingUp(replica)
            }
            Self::Leader(mut leader) => {
                if !leader.has_quorum() {
                    return Self::Leader(leader).step_down();
                }
                if leader.common.now >= leader.role.heartbeat_after {
                    leader.send_heartbeats();
                }
                leader.continue_changes();
                Self::Leader(leader)
            }
            node if node.common().now < node.common().deadline => node,
            node => each!(node, replica => replica.campaign()),
        }
    }

    /// Gives up leadership or a campaign.
    pub(crate) fn step_down(mut self) -> Self {
        if let Self::Leader(leader) = &mut self {
            leader.abandon();
        }
        let common = self.common_mut();
        common.forget_leader();
        common.reset_deadline();
        each!(self, replica => replica.settle())
    }

    /// Moves to a higher term as a follower.
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

    fn written(mut self, sequence: u64) -> Self {
        let before = self.common().durable;
        self.common_mut().complete(sequence);
        match self {
            Self::Candidate(replica) => replica.count(),
            Self::Leader(mut leader) => {
                leader.advance();
                leader.serve_reads();
                Self::Leader(leader)
            }
            mut node => {
                let common = node.common_mut();
                if common.durable > before && common.verified > before {
                    common.acknowledge(None);
                }
                node
            }
        }
    }

    fn propose(mut self, token: u64, command: Vec<u8>) -> Self {
        match &mut self {
            Self::Leader(leader) => leader.propose(token, Body::Command(command)),
            other => other.common_mut().refuse(token, Refusal::NotLeader),
        }
        self
    }

    fn read(mut self, token: u64) -> Self {
        if let Self::Leader(leader) = &mut self {
            leader.read(token, None);
            return self;
        }
        let common = self.common_mut();
        match common.leader.clone() {
            Some(leader) => {
                common.asked.push(token);
                common.send(&leader, Message::ReadIndex { read: token });
            }
            None => common.refuse(token, Refusal::NotLeader),
        }
        self
    }

    /// Changes the role after the log made this replica a voter or took its vote away.
    fn check_role(self) -> Self {
        match self {
            Self::CatchingUp(replica) => {
                match is_voter(replica.common.log.members(), &replica.common.id) {
                    true => Self::Follower(replica.turn(Follower)),
                    false => Self::CatchingUp(replica),
                }
            }
            Self::Leader(leader) if leader.is_removed() => Self::Leader(leader).step_down(),
            Self::Leader(leader) => Self::Leader(leader),
            node => match node.common().may_campaign() {
                true => node,
                false => node.step_down(),
            },
        }
    }
}

impl Replica<CatchingUp> {
    /// Asks all known instances for the log, unless a leader already sends it.
    fn ask_to_join(&mut self) {
        let common = &mut self.common;
        if common.now < self.role.join_after || (common.leader.is_some() && common.is_bound()) {
            return;
        }
        self.role.join_after = common.now + common.timing.election_min;
        common.ask_to_join();
    }
}

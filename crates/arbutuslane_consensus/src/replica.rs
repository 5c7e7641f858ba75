//! A replica with its role as a typestate.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use arbutuslane_core::time::Time;

use crate::common::CommonState;
use crate::member::Id;
use crate::progress::Progress;

/// A replica in the role `R`.
#[derive(Debug, Clone)]
pub struct Replica<R> {
    pub(crate) common: CommonState,
    pub(crate) role: R,
}

/// The role of a replica that receives the log but is no voter of its own membership: it is new,
/// empty or removed. It never campaigns and becomes a [`Follower`] when the log makes it a voter.
#[derive(Debug, Clone, Default)]
pub struct CatchingUp {
    /// When the replica next requests the log from the other instances.
    pub(crate) next_join_at: Time,
}

/// The role of a voter that replicates the leader's log.
#[derive(Debug, Clone, Default)]
pub struct Follower;

/// The role of a replica that checks whether it could win an election before it raises the term.
#[derive(Debug, Clone, Default)]
pub struct PreCandidate {
    /// The replicas that would grant it their vote, including itself.
    pub(crate) granted: BTreeSet<Id>,
}

/// The role of a replica that campaigns in its term.
#[derive(Debug, Clone, Default)]
pub struct Candidate {
    /// The replicas that voted for it; includes itself once its own vote is durable.
    pub(crate) granted: BTreeSet<Id>,
    /// The sequence number of the write that makes its own vote durable.
    pub(crate) own_vote_sequence: u64,
}

/// The role of the leader of a term.
#[derive(Debug, Clone, Default)]
pub struct Leader {
    /// The progress of the other members of the latest membership.
    pub(crate) peers: BTreeMap<Id, Progress>,
    /// The index of the first entry of the term; it must be committed before reads are served and
    /// the membership is changed.
    pub(crate) first_index: u64,
    /// The number of the last heartbeat round.
    pub(crate) round: u64,
    /// The recent heartbeat rounds and when each was sent, in ascending order.
    pub(crate) recent_rounds: VecDeque<(u64, Time)>,
    /// When the next heartbeat round is due.
    pub(crate) next_heartbeat_at: Time,
    /// When the replica was elected; it steps down for a missing majority only after an election
    /// timeout from then.
    pub(crate) elected_at: Time,
    /// Reads that wait for the lease: the token, and the replica that requested the read unless it
    /// is this one.
    pub(crate) reads_awaiting_lease: Vec<(u64, Option<Id>)>,
}

impl<R> Replica<R> {
    /// Returns the replica in another role.
    pub(crate) fn with_role<S>(self, role: S) -> Replica<S> {
        Replica { common: self.common, role }
    }
}

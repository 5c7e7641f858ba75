//! One replica with its role as a typestate.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use arbutuslane_core::time::Time;

use crate::common::Common;
use crate::member::Id;
use crate::progress::Progress;

/// A replica in the role `R`.
#[derive(Debug, Clone)]
pub struct Replica<R> {
    pub(crate) common: Common,
    pub(crate) role: R,
}

/// Receives the log but is no voter of its own membership: new, empty or removed. It never
/// campaigns and turns into a [`Follower`] when the log makes it a voter.
#[derive(Debug, Clone, Default)]
pub struct CatchingUp {
    /// When the replica asks the other instances for the log again.
    pub(crate) join_after: Time,
}

/// Takes over the leader's log and votes.
#[derive(Debug, Clone, Default)]
pub struct Follower;

/// Asks whether it could win before it raises the term.
#[derive(Debug, Clone, Default)]
pub struct PreCandidate {
    /// The voters that would vote for it.
    pub(crate) granted: BTreeSet<Id>,
}

/// Campaigns in its term.
#[derive(Debug, Clone, Default)]
pub struct Candidate {
    /// The voters that voted for it.
    pub(crate) granted: BTreeSet<Id>,
    /// The write after which its own vote counts.
    pub(crate) own_vote: u64,
}

/// Leads its term.
#[derive(Debug, Clone, Default)]
pub struct Leader {
    pub(crate) peers: BTreeMap<Id, Progress>,
    /// The index of the first entry of the term; it must be committed before reads and changes of
    /// the membership.
    pub(crate) first_index: u64,
    /// The number of the last heartbeat.
    pub(crate) round: u64,
    /// When each recent heartbeat was sent, in ascending order.
    pub(crate) rounds: VecDeque<(u64, Time)>,
    pub(crate) heartbeat_after: Time,
    /// When leadership began; a majority has an election timeout from then to be heard from.
    pub(crate) since: Time,
    /// Reads that wait for the lease: the token, and the replica that asked unless it is this one.
    pub(crate) waiting: Vec<(u64, Option<Id>)>,
}

impl<R> Replica<R> {
    /// Moves to another role.
    pub(crate) fn turn<S>(self, role: S) -> Replica<S> {
        Replica { common: self.common, role }
    }
}

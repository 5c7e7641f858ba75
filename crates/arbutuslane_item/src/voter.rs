//! The instances whose copies and promises count, and how they change.
//!
//! Each state names its voters, so that they change only with an accepted state. There are at most
//! 2 × `quorum` − 1, so that any two quorums share a voter. While others replace some of them, a quorum
//! is one of the present voters and one of the next ones (joint consensus): it shares a voter with each
//! quorum before the change and with each one after it. A leader begins or ends a change only after a
//! state with the present voters was accepted under its own ballot, so that two leaders cannot each
//! change the same voters differently. An instance that is no voter stores states and serves reads.
//!
//! A voter is an instance with its disk. An instance that lost its disk is another voter, because it has
//! forgotten what it promised and stored.
//!
//! Until a state names voters, the founders count: the instances of the first start, of which there are
//! at most as many as there may be voters.

use arbutuslane_core::id::NodeId;

use crate::replication::Status;

/// Identifies a disk from the first start with it; [`UNKNOWN_DISK`] is none.
pub type DiskId = u64;

/// The disk of an instance of an earlier release, which reports none.
pub const UNKNOWN_DISK: DiskId = 0;

/// An instance with its disk.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Voter {
    /// The instance.
    pub instance: NodeId,
    /// Its disk.
    pub disk: DiskId,
}

/// The voters of a state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Electorate {
    /// The voters, or the next ones during a change, in ascending order; empty while the founders count.
    pub voters: Vec<Voter>,
    /// The voters before a change that is not finished, in ascending order; else empty.
    pub replaced: Vec<Voter>,
}

/// Returns the largest number of voters for the number of voters in a quorum.
pub fn max_voters(quorum: usize) -> usize {
    2 * quorum - 1
}

impl Electorate {
    /// Returns whether no voters are named, so that the founders count.
    pub fn is_empty(&self) -> bool {
        self.voters.is_empty()
    }

    /// Returns whether those voters of whom `is_held` is true are a quorum.
    pub fn is_quorum(&self, is_held: impl Fn(&Voter) -> bool, quorum: usize) -> bool {
        let has_quorum =
            |voters: &[Voter]| voters.iter().filter(|voter| is_held(voter)).count() >= quorum;
        has_quorum(&self.voters) && (self.replaced.is_empty() || has_quorum(&self.replaced))
    }

    /// Returns whether a leader may replace this electorate by `next`, once a state with this one is
    /// accepted.
    pub(crate) fn may_become(&self, next: &Self, quorum: usize) -> bool {
        let has_room = next.voters.len() <= max_voters(quorum);
        let follows = match (self.is_empty(), self.replaced.is_empty()) {
            (true, _) => next.replaced.is_empty(),
            (false, true) => next.replaced == self.voters,
            (false, false) => next.voters == self.voters && next.replaced.is_empty(),
        };
        has_room && follows
    }

    /// Returns whether an instance should ask the leader for a place among the voters. The leader knows
    /// whether one of them gives way.
    pub(crate) fn lacks(&self, own: &Voter) -> bool {
        // Only a leader can end a change that another one began.
        self.voters.binary_search(own).is_err() || !self.replaced.is_empty()
    }

    /// Returns the electorate that replaces this one, or `None` if it stays.
    ///
    /// `present` are the reports of all instances that respond, and `is_alive` tells which of the others
    /// may only be slow. A voter that leaves, is gone or has lost its disk gives way, and only to an
    /// instance that responds and stays: while there is none to replace it, it may come back with all
    /// that it stored.
    pub fn next(
        &self,
        present: &[Status],
        quorum: usize,
        is_alive: impl Fn(&str) -> bool,
    ) -> Option<Self> {
        if self.is_empty() {
            let voters = first_voters(present, quorum)?;
            return Some(Self { voters, replaced: Vec::new() });
        }
        if !self.replaced.is_empty() {
            return Some(Self { voters: self.voters.clone(), replaced: Vec::new() });
        }
        let staying: Vec<&Status> = present.iter().filter(|status| !status.is_leaving).collect();
        let mut newcomers: Vec<&Voter> = staying.iter().map(|status| &status.voter).collect();
        newcomers.retain(|voter| {
            voter.disk != UNKNOWN_DISK && self.voters.binary_search(voter).is_err()
        });
        newcomers.sort_unstable();
        let mut voters = self.voters.clone();
        for newcomer in newcomers {
            if voters.len() >= max_voters(quorum) {
                let Some(index) = replaceable(&voters, &staying, present, &is_alive) else { break };
                voters.remove(index);
            }
            let index = voters.binary_search(newcomer).unwrap_or_else(|index| index);
            voters.insert(index, newcomer.clone());
        }
        (voters != self.voters).then(|| Self { voters, replaced: self.voters.clone() })
    }
}

/// Returns the index of a voter that has lost its disk, leaves or is gone.
fn replaceable(
    voters: &[Voter],
    staying: &[&Status],
    present: &[Status],
    is_alive: impl Fn(&str) -> bool,
) -> Option<usize> {
    let stays = |voter: &Voter| staying.iter().any(|status| status.voter == *voter);
    let has_another_disk = |voter: &Voter| {
        !stays(voter) && staying.iter().any(|status| *status.instance() == voter.instance)
    };
    let leaves =
        |voter: &Voter| present.iter().any(|status| status.voter == *voter && status.is_leaving);
    let is_gone = |voter: &Voter| !stays(voter) && !is_alive(&voter.instance);
    let found = voters.iter().position(has_another_disk);
    let found = found.or_else(|| voters.iter().position(leaves));
    found.or_else(|| voters.iter().position(is_gone))
}

/// Returns the first voters: the founders, once all of them respond or another instance needs a place.
fn first_voters(present: &[Status], quorum: usize) -> Option<Vec<Voter>> {
    // An instance of an earlier release would store states without their voters.
    if present.iter().any(|status| status.voter.disk == UNKNOWN_DISK) {
        return None;
    }
    let founders = present.iter().filter(|status| status.is_founder);
    let mut founders: Vec<Voter> = founders.map(|status| status.voter.clone()).collect();
    founders.sort_unstable();
    founders.truncate(max_voters(quorum));
    let has_newcomer = present.iter().any(|status| !status.is_founder);
    let is_due = founders.len() == max_voters(quorum) || has_newcomer;
    (is_due && founders.len() >= quorum).then_some(founders)
}

/// Returns the report of the newest state.
pub(crate) fn newest(statuses: &[Status]) -> Option<&Status> {
    statuses.iter().max_by(|left, right| left.position.cmp(&right.position))
}

/// Returns whether the instances that report are a quorum of the electorate that the newest of their
/// states names.
pub fn is_quorum(statuses: &[Status], quorum: usize) -> bool {
    newest(statuses).is_some_and(|newest| counts(&newest.electorate, statuses, quorum, &|_| true))
}

/// Returns whether the instances that report what `is_counted` accepts are a quorum of `electorate`.
pub(crate) fn counts(
    electorate: &Electorate,
    statuses: &[Status],
    quorum: usize,
    is_counted: &dyn Fn(&Status) -> bool,
) -> bool {
    if electorate.is_empty() {
        let founders = statuses.iter().filter(|status| status.is_founder && is_counted(status));
        return founders.count() >= quorum;
    }
    let is_held =
        |voter: &Voter| statuses.iter().any(|status| status.voter == *voter && is_counted(status));
    electorate.is_quorum(is_held, quorum)
}

//! How an instance finds out which state is the newest accepted one.

use std::cmp::Ordering;

use arbutuslane_core::id::NodeId;

use crate::ballot::Position;
use crate::voter;

use super::{Replication, Status};

/// What an instance has to do to know the newest accepted state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settlement {
    /// Nothing; [`Replication::accepted`] is the newest accepted state.
    Settled,
    /// Fetch the accepted state of an instance.
    Fetch(NodeId),
    /// Call [`Replication::learn`] with this position.
    Learn(Position),
    /// Have a leader propose the newest state again, because it may be accepted or not.
    Propose,
    /// Wait for more instances to respond.
    Wait,
}

impl Replication {
    /// Decides from the reports of instances, including this one, what it takes to know the newest
    /// accepted state.
    pub fn settle(&mut self, statuses: &[Status]) -> Settlement {
        for status in statuses {
            self.observe(&status.promised);
        }
        if !voter::is_quorum(statuses, self.quorum) {
            return Settlement::Wait;
        }
        let Some(newest) = voter::newest(statuses) else { return Settlement::Wait };
        let knows = |position: &Position| {
            self.accepted.as_ref().is_some_and(|known| known.position >= *position)
        };
        if knows(&newest.position) {
            self.is_settled = true;
            return Settlement::Settled;
        }
        let holds_newest =
            |status: &Status| status.position == newest.position && status.digest == newest.digest;
        let is_newest_accepted =
            voter::counts(&newest.electorate, statuses, self.quorum, &holds_newest);
        let reported = statuses.iter().max_by(|left, right| left.accepted.cmp(&right.accepted));
        let reported =
            reported.and_then(|status| Some((status.accepted.as_ref()?, status.instance())));
        let accepted = match is_newest_accepted {
            true => Some((&newest.position, newest.instance())),
            false => reported,
        };
        let Some((position, instance)) = accepted.filter(|(position, _)| !knows(position)) else {
            return Settlement::Propose;
        };
        match self.stored.position.cmp(position) {
            Ordering::Less => Settlement::Fetch(instance.clone()),
            Ordering::Equal => Settlement::Learn(position.clone()),
            Ordering::Greater => Settlement::Propose,
        }
    }
}

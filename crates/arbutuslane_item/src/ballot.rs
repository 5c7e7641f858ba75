//! Ballots, which order the instances that lead, and positions, which order the states of the
//! catalogue.

use arbutuslane_core::id::{Incarnation, NodeId};

/// Identifies one attempt of an instance to lead. A higher ballot replaces a lower one.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ballot {
    /// The number of the attempt, higher than that of each ballot that the instance knew.
    pub round: u64,
    /// The instance that leads with this ballot; empty for the initial state.
    pub instance: NodeId,
    /// The start of that instance, which may have lost its disk and with it the rounds it used.
    pub incarnation: Incarnation,
}

/// The place of a state in the sequence of all states.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The ballot of the instance that proposed the state.
    pub ballot: Ballot,
    /// The number of the state under that ballot, from 1.
    pub change: u64,
}

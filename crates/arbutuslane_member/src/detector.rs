//! Decides from failed probes which nodes are suspect and which are dead.

use std::time::Duration;

use arbutuslane_core::id::{Incarnation, NodeId};
use arbutuslane_core::time::Time;

/// The number of nodes that are asked to probe a node that did not answer directly.
pub const HELPERS: usize = 3;

/// The number of nodes that are asked before a suspect is declared dead; half of them may be cut
/// off from a healthy suspect in one direction.
pub const DECIDING_HELPERS: usize = 8;

/// The time from a suspicion to the probe that decides about it.
///
/// The probe and its helpers take up to 1 s more, which gives 3 s from suspicion to death.
pub const CONFIRM_AFTER: Duration = Duration::from_secs(2);

/// The result of a finished probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Helpers have not all answered.
    Pending,
    /// A helper reached the node.
    Reached,
    /// Too few helpers answered: this process may be the one that is cut off.
    Inconclusive,
    /// Enough helpers answered that they did not reach the node either, and none reached it.
    Failed {
        /// True for a probe that decides about a suspicion.
        deciding: bool,
    },
}

/// A suspicion that this process raised and has to decide about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// The suspect.
    pub node: NodeId,
    /// The incarnation of the record that is in doubt.
    pub incarnation: Incarnation,
    /// The version of that record; a higher one refutes the suspicion.
    pub version: u64,
    /// The round of the view; a higher one refutes the suspicion.
    pub round: u64,
    /// When the deciding probe is due.
    pub confirm_at: Time,
}

#[derive(Debug, Clone)]
struct Inquiry {
    node: NodeId,
    asked: usize,
    pending: usize,
    denied: usize,
    deciding: bool,
}

/// The probes and suspicions of one process.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    inquiries: Vec<Inquiry>,
    suspicions: Vec<Suspicion>,
}

impl Detector {
    /// Starts a probe; returns false while one of the same node is running.
    pub fn begin(&mut self, node: &str) -> bool {
        if self.inquiries.iter().any(|inquiry| inquiry.node == node) {
            return false;
        }
        self.inquiries.push(Inquiry {
            node: node.to_string(),
            asked: 0,
            pending: 0,
            denied: 0,
            deciding: false,
        });
        true
    }

    /// Ends the probe of a node that answered directly.
    pub fn answered(&mut self, node: &str) {
        self.inquiries.retain(|inquiry| inquiry.node != node);
    }

    /// Notes that a node did not answer directly and that `helpers` others are asked about it.
    ///
    /// Without any helper in the fleet the direct probe alone decides.
    pub fn unanswered(&mut self, now: Time, node: &str, helpers: usize) -> Outcome {
        let due = self.is_due(now, node);
        let Some(index) = self.inquiries.iter().position(|inquiry| inquiry.node == node) else {
            return Outcome::Pending;
        };
        if helpers == 0 {
            self.inquiries.swap_remove(index);
            return Outcome::Failed { deciding: due };
        }
        let inquiry = &mut self.inquiries[index];
        inquiry.pending = helpers;
        inquiry.asked = helpers;
        inquiry.deciding = due;
        Outcome::Pending
    }

    /// Reports a helper's finding, or nothing when the helper did not answer.
    ///
    /// A suspicion needs one helper that answers and denies, and death three quarters of those asked.
    /// A node that hears nobody, or only half of the fleet, is cut off itself and removes nobody.
    pub fn found(&mut self, node: &str, reached: Option<bool>) -> Outcome {
        let Some(index) = self.inquiries.iter().position(|inquiry| inquiry.node == node) else {
            return Outcome::Pending;
        };
        let inquiry = &mut self.inquiries[index];
        inquiry.pending = inquiry.pending.saturating_sub(1);
        inquiry.denied += usize::from(reached == Some(false));
        if reached == Some(true) {
            self.inquiries.swap_remove(index);
            return Outcome::Reached;
        }
        if inquiry.pending > 0 {
            return Outcome::Pending;
        }
        let deciding = inquiry.deciding;
        let wanted = if deciding { (inquiry.asked * 3).div_ceil(4) } else { 1 };
        let failed = inquiry.denied >= wanted;
        self.inquiries.swap_remove(index);
        if failed { Outcome::Failed { deciding } } else { Outcome::Inconclusive }
    }

    /// Records a failed probe of a node seen at `seen` (incarnation, version, round); returns true
    /// when the node was suspected at the same state before and the probe was the deciding one, so
    /// that it is dead.
    pub fn suspect(
        &mut self,
        now: Time,
        node: &str,
        seen: (Incarnation, u64, u64),
        deciding: bool,
    ) -> bool {
        let fresh = Suspicion {
            node: node.to_string(),
            incarnation: seen.0,
            version: seen.1,
            round: seen.2,
            confirm_at: now + CONFIRM_AFTER,
        };
        let Some(index) = self.suspicions.iter().position(|known| known.node == node) else {
            self.suspicions.push(fresh);
            return false;
        };
        let known = &self.suspicions[index];
        if (known.incarnation, known.version, known.round) != seen {
            self.suspicions[index] = fresh;
            return false;
        }
        if !deciding {
            return false;
        }
        self.suspicions.swap_remove(index);
        true
    }

    /// Drops the suspicion of a node that answered, refuted, died or left.
    pub fn clear(&mut self, node: &str) {
        self.suspicions.retain(|suspicion| suspicion.node != node);
    }

    /// Returns the number of helpers to ask about a node that did not answer.
    pub fn helpers(&self, now: Time, node: &str) -> usize {
        if self.is_due(now, node) { DECIDING_HELPERS } else { HELPERS }
    }

    /// Returns the suspects whose deciding probe is due and not running.
    pub fn due(&self, now: Time) -> Vec<NodeId> {
        let running = |node: &str| self.inquiries.iter().any(|inquiry| inquiry.node == node);
        let due = self.suspicions.iter();
        let due = due.filter(|known| known.confirm_at <= now && !running(&known.node));
        due.map(|suspicion| suspicion.node.clone()).collect()
    }

    fn is_due(&self, now: Time, node: &str) -> bool {
        let mut suspicions = self.suspicions.iter();
        suspicions.any(|known| known.node == node && known.confirm_at <= now)
    }
}

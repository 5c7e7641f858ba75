//! Decides from failed probes which nodes are suspect and which are dead.

use std::time::Duration;

use arbutuslane_core::id::{Incarnation, NodeId};
use arbutuslane_core::time::Time;

/// The number of nodes that are asked to probe a node that did not answer directly.
pub const HELPERS: usize = 3;

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
    /// No helper answered: this process may be the one that is cut off.
    Inconclusive,
    /// A helper answered that it did not reach the node either, and none reached it.
    Failed,
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
    pending: usize,
    denied: bool,
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
        self.inquiries.push(Inquiry { node: node.to_string(), pending: 0, denied: false });
        true
    }

    /// Ends the probe of a node that answered directly.
    pub fn answered(&mut self, node: &str) {
        self.inquiries.retain(|inquiry| inquiry.node != node);
    }

    /// Notes that a node did not answer directly and that `helpers` others are asked about it.
    ///
    /// Without any helper in the fleet the direct probe alone decides.
    pub fn unanswered(&mut self, node: &str, helpers: usize) -> Outcome {
        let Some(index) = self.inquiries.iter().position(|inquiry| inquiry.node == node) else {
            return Outcome::Pending;
        };
        if helpers == 0 {
            self.inquiries.swap_remove(index);
            return Outcome::Failed;
        }
        self.inquiries[index].pending = helpers;
        Outcome::Pending
    }

    /// Reports a helper's finding, or nothing when the helper did not answer.
    ///
    /// A suspicion needs one helper that answers and denies. A node that hears nobody, because it is
    /// cut off itself, therefore suspects nobody.
    pub fn found(&mut self, node: &str, reached: Option<bool>) -> Outcome {
        let Some(index) = self.inquiries.iter().position(|inquiry| inquiry.node == node) else {
            return Outcome::Pending;
        };
        let inquiry = &mut self.inquiries[index];
        inquiry.pending = inquiry.pending.saturating_sub(1);
        inquiry.denied |= reached == Some(false);
        if reached == Some(true) {
            self.inquiries.swap_remove(index);
            return Outcome::Reached;
        }
        if inquiry.pending > 0 {
            return Outcome::Pending;
        }
        let denied = inquiry.denied;
        self.inquiries.swap_remove(index);
        if denied { Outcome::Failed } else { Outcome::Inconclusive }
    }

    /// Records a failed probe of a node seen at `seen` (incarnation, version, round); returns true
    /// when the node was suspected at the same state before and its deciding probe has now failed
    /// too, so that it is dead.
    pub fn suspect(&mut self, now: Time, node: &str, seen: (Incarnation, u64, u64)) -> bool {
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
        if now < known.confirm_at {
            return false;
        }
        self.suspicions.swap_remove(index);
        true
    }

    /// Drops the suspicion of a node that answered, refuted, died or left.
    pub fn clear(&mut self, node: &str) {
        self.suspicions.retain(|suspicion| suspicion.node != node);
    }

    /// Returns the suspects whose deciding probe is due.
    pub fn due(&self, now: Time) -> Vec<NodeId> {
        let due = self.suspicions.iter().filter(|suspicion| suspicion.confirm_at <= now);
        due.map(|suspicion| suspicion.node.clone()).collect()
    }
}

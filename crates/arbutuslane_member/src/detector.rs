//! Decides from failed probes which nodes are suspect and which are dead.
//!
//! After a direct probe of a node times out, other nodes, the helpers, probe it. The node becomes
//! suspect if a helper reports it as unreachable and none reaches it. A second probe, the
//! confirmation probe, decides whether it is dead.

use std::time::Duration;

use arbutuslane_core::id::{Incarnation, NodeId};
use arbutuslane_core::time::Time;

/// The number of helpers that probe a node after its direct probe failed.
pub const PROBE_HELPERS: usize = 3;

/// The number of helpers that probe a suspect before it is declared dead; half of them may be cut
/// off from a healthy suspect in one direction.
pub const CONFIRMATION_HELPERS: usize = 8;

/// The time from a suspicion to its confirmation probe.
///
/// The probe and its helpers take up to 1 s more, so a suspect is declared dead after 3 s.
pub const CONFIRMATION_DELAY: Duration = Duration::from_secs(2);

/// The outcome of a probe so far.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// Not all helpers have responded yet.
    Pending,
    /// A helper reached the node.
    Reached,
    /// Too few helpers responded: this process may itself be cut off from the fleet.
    Inconclusive,
    /// Enough helpers reported that they could not reach the node either, and none reached it.
    Failed {
        /// True for the confirmation probe of a suspect.
        confirming: bool,
    },
}

/// A suspicion that this process raised and has to confirm or drop.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// The suspect.
    pub node: NodeId,
    /// The incarnation of the suspect's record.
    pub incarnation: Incarnation,
    /// The version of that record; a higher one refutes the suspicion.
    pub version: u64,
    /// The round of the view; a higher one refutes the suspicion.
    pub round: u64,
    /// When the confirmation probe is due.
    pub confirm_at: Time,
}

/// A running probe of a node.
#[derive(Debug, Clone)]
struct Probe {
    node: NodeId,
    /// The number of helpers that probe the node.
    helpers: usize,
    /// The number of helpers that have neither responded nor timed out.
    pending_helpers: usize,
    /// The number of helpers that could not reach the node.
    unreachable_reports: usize,
    /// Whether this is the confirmation probe of a suspect.
    confirming: bool,
}

/// The probes and suspicions of one process.
#[derive(Debug, Clone, Default)]
pub struct Detector {
    probes: Vec<Probe>,
    suspicions: Vec<Suspicion>,
}

impl Detector {
    /// Starts a probe of a node; returns false when one is already running.
    pub fn begin_probe(&mut self, node: &str) -> bool {
        if self.probes.iter().any(|probe| probe.node == node) {
            return false;
        }
        self.probes.push(Probe {
            node: node.to_string(),
            helpers: 0,
            pending_helpers: 0,
            unreachable_reports: 0,
            confirming: false,
        });
        true
    }

    /// Ends the probe of a node without a result to evaluate, as when the node responded directly.
    pub fn end_probe(&mut self, node: &str) {
        self.probes.retain(|probe| probe.node != node);
    }

    /// Records that a direct probe timed out and that `helpers` other nodes now probe the node.
    ///
    /// If there are no helpers in the fleet, the direct probe alone decides.
    pub fn record_timeout(&mut self, now: Time, node: &str, helpers: usize) -> ProbeOutcome {
        let confirming = self.is_confirmation_due(now, node);
        let Some(index) = self.probes.iter().position(|probe| probe.node == node) else {
            return ProbeOutcome::Pending;
        };
        if helpers == 0 {
            self.probes.swap_remove(index);
            return ProbeOutcome::Failed { confirming };
        }
        let probe = &mut self.probes[index];
        probe.pending_helpers = helpers;
        probe.helpers = helpers;
        probe.confirming = confirming;
        ProbeOutcome::Pending
    }

    /// Records whether a helper reached the node; `reached` is `None` when the helper timed out.
    ///
    /// A suspicion requires one helper that reports the node as unreachable; a death requires three
    /// quarters of the helpers to report so. A process that hears from no helper, or from only half of
    /// the fleet, is itself cut off and must not remove other nodes.
    pub fn record_helper_report(&mut self, node: &str, reached: Option<bool>) -> ProbeOutcome {
        let Some(index) = self.probes.iter().position(|probe| probe.node == node) else {
            return ProbeOutcome::Pending;
        };
        let probe = &mut self.probes[index];
        probe.pending_helpers = probe.pending_helpers.saturating_sub(1);
        probe.unreachable_reports += usize::from(reached == Some(false));
        if reached == Some(true) {
            self.probes.swap_remove(index);
            return ProbeOutcome::Reached;
        }
        if probe.pending_helpers > 0 {
            return ProbeOutcome::Pending;
        }
        let confirming = probe.confirming;
        let required = if confirming { (probe.helpers * 3).div_ceil(4) } else { 1 };
        let failed = probe.unreachable_reports >= required;
        self.probes.swap_remove(index);
        if failed { ProbeOutcome::Failed { confirming } } else { ProbeOutcome::Inconclusive }
    }

    /// Records a failed probe; returns true when the node is dead.
    ///
    /// `seen` is the node's known incarnation, version and round. The node is dead when it was
    /// already suspected in this state and `confirming` is set.
    pub fn record_failure(
        &mut self,
        now: Time,
        node: &str,
        seen: (Incarnation, u64, u64),
        confirming: bool,
    ) -> bool {
        let new_suspicion = Suspicion {
            node: node.to_string(),
            incarnation: seen.0,
            version: seen.1,
            round: seen.2,
            confirm_at: now + CONFIRMATION_DELAY,
        };
        let Some(index) = self.suspicions.iter().position(|suspicion| suspicion.node == node)
        else {
            self.suspicions.push(new_suspicion);
            return false;
        };
        let suspicion = &self.suspicions[index];
        if (suspicion.incarnation, suspicion.version, suspicion.round) != seen {
            self.suspicions[index] = new_suspicion;
            return false;
        }
        if !confirming {
            return false;
        }
        self.suspicions.swap_remove(index);
        true
    }

    /// Drops the suspicion of a node that responded, refuted it, died or left.
    pub fn clear_suspicion(&mut self, node: &str) {
        self.suspicions.retain(|suspicion| suspicion.node != node);
    }

    /// Returns the number of helpers that should probe a node after its direct probe timed out.
    pub fn helper_count(&self, now: Time, node: &str) -> usize {
        if self.is_confirmation_due(now, node) { CONFIRMATION_HELPERS } else { PROBE_HELPERS }
    }

    /// Returns the suspects whose confirmation probe is due and not running.
    pub fn due_suspects(&self, now: Time) -> Vec<NodeId> {
        let running = |node: &str| self.probes.iter().any(|probe| probe.node == node);
        let due = self.suspicions.iter();
        let due = due.filter(|suspicion| suspicion.confirm_at <= now && !running(&suspicion.node));
        due.map(|suspicion| suspicion.node.clone()).collect()
    }

    fn is_confirmation_due(&self, now: Time, node: &str) -> bool {
        let mut suspicions = self.suspicions.iter();
        suspicions.any(|suspicion| suspicion.node == node && suspicion.confirm_at <= now)
    }
}

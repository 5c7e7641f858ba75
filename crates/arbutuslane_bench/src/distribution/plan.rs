//! The settings and the results of a run.

use std::time::Duration;

use crate::quantile::nearest_rank;

/// The settings of a run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// The number of nodes.
    pub nodes: usize,
    /// The number of changes, each of which an operator makes at a control instance.
    pub changes: usize,
    /// The time between two changes.
    pub change_interval: Duration,
    /// The share of all messages that get lost.
    pub loss: f64,
    /// The share of the nodes whose uplink delays each message by [`Plan::uplink_delay`], because it
    /// is full.
    pub full_uplinks: f64,
    /// The time that a message waits for a full uplink.
    pub uplink_delay: Duration,
    /// The share of the nodes that start at the time of the first change.
    pub starting: f64,
    /// The share of the nodes that have failed without being known as dead yet.
    pub failed: f64,
    /// The change after whose acknowledgement the instance that made it dies, before it has told
    /// anybody.
    pub death_at_change: Option<usize>,
    /// The seed of all random choices.
    pub seed: u64,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            nodes: 300,
            changes: 24,
            change_interval: Duration::from_millis(80),
            loss: 0.0,
            full_uplinks: 0.0,
            uplink_delay: Duration::from_millis(900),
            starting: 0.0,
            failed: 0.0,
            death_at_change: None,
            seed: 1,
        }
    }
}

/// The results of a run.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// The sorted times from the acknowledgement of a change until it is in force at a node, over all
    /// changes and all nodes that were ready before.
    pub delays: Vec<Duration>,
    /// The number of changes that were not in force at a ready node at the end of the bound, counted
    /// once for each node.
    pub late: usize,
    /// The largest number of requests that one control instance sent.
    pub control_requests: u64,
    /// The most processor time that one control instance used.
    pub control_cpu: Duration,
    /// The mean number of requests that a node sent.
    pub node_requests: f64,
    /// The mean processor time that a node used.
    pub node_cpu: Duration,
}

impl Figures {
    /// Returns a quantile of the delays.
    pub fn delay(&self, quantile: f64) -> Option<Duration> {
        nearest_rank(&self.delays, quantile)
    }
}

//! The settings and the results of a run of the fleet.

/// The settings of a run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// The number of nodes.
    pub nodes: usize,
    /// The number of servers beside each node.
    pub servers_per_node: usize,
    /// The measured time in seconds.
    pub measured_seconds: u64,
    /// Changes of the catalogue per day.
    pub changes_per_day: f64,
    /// Restarts of nodes per day; a restarted node begins with an empty membership table.
    pub restarts_per_day: f64,
    /// The percentage of nodes that are lost together at the start of the measured time.
    pub lost_percent: usize,
    /// The seed of all random choices.
    pub seed: u64,
}

/// The results of a run.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// Mean requests sent by a node per second.
    pub requests_per_s: f64,
    /// Mean bytes of bodies and HTTP heads sent by a node per second.
    pub bytes_per_s: f64,
    /// The same with TCP and IP headers.
    pub wire_bytes_per_s: f64,
    /// The largest number of bytes, bodies and HTTP heads, that one node sent in one second.
    pub peak_bytes_per_s: u64,
    /// The largest number of requests that one node sent in one second.
    pub peak_requests_per_s: u64,
    /// Mean processor time of a node in microseconds per second.
    pub cpu_us_per_s: f64,
    /// The sorted times in milliseconds from a change until it is in force at a node, over all changes
    /// and all nodes that were not restarted.
    pub in_force_delays_ms: Vec<u64>,
    /// The number of changes made.
    pub changes: usize,
    /// The time in milliseconds until every remaining node saw every lost node as dead.
    pub loss_detected_ms: Option<u64>,
}

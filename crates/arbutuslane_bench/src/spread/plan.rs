//! What a run of the fleet takes and gives.

/// What is run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// The number of nodes.
    pub nodes: usize,
    /// The number of servers beside each node.
    pub servers: usize,
    /// The measured time in seconds.
    pub seconds: u64,
    /// Changes of the catalogue a day.
    pub changes: f64,
    /// Restarts of nodes a day; a restarted node has an empty table.
    pub restarts: f64,
    /// The share of the nodes that is lost at once at the start, in percent.
    pub lost_percent: usize,
    /// The seed of all random choices.
    pub seed: u64,
}

/// What was measured.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// Requests sent by a node in a second.
    pub messages: f64,
    /// Bytes sent by a node in a second: bodies and HTTP heads.
    pub bytes: f64,
    /// Bytes sent by a node in a second with TCP and IP headers.
    pub wire_bytes: f64,
    /// The most bytes that one node sent in one second, bodies and HTTP heads.
    pub peak_bytes: u64,
    /// The most requests that one node sent in one second.
    pub peak_messages: u64,
    /// Processor time of a node in a second, in microseconds.
    pub cpu_us: f64,
    /// The times in milliseconds from a change to its being in force, over all nodes and changes.
    pub delays: Vec<u64>,
    /// The number of changes made.
    pub changes: usize,
    /// The time in milliseconds until every node saw every lost node as dead.
    pub noticed_ms: Option<u64>,
}

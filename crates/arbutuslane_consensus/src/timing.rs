//! Intervals of heartbeats and elections.

use std::time::Duration;

/// The largest difference in rate between two clocks, in hundredths.
///
/// Quartz clocks differ by under 0.02%; 1% leaves room for clocks that a time service slews.
pub const DRIFT_PERCENT: u32 = 1;

/// The intervals of one control group; all its replicas must use the same ones.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Between two heartbeats of a leader.
    pub heartbeat: Duration,
    /// The shortest time without a leader after which a replica campaigns; also the time for which
    /// it refuses its vote after it heard from one.
    pub election_min: Duration,
    /// The longest time without a leader after which a replica campaigns.
    pub election_max: Duration,
    /// Between two transfers of a snapshot to one replica.
    pub snapshot_retry: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(150),
            election_min: Duration::from_millis(600),
            election_max: Duration::from_millis(1_200),
            snapshot_retry: Duration::from_secs(2),
        }
    }
}

impl Timing {
    /// Returns how long after a heartbeat was sent its acknowledgement supports reads.
    ///
    /// A follower refuses its vote for `election_min` by its own clock, which may run fast by the
    /// drift bound while the leader's clock runs slow by it.
    pub fn lease(&self) -> Duration {
        self.election_min * (100 - 2 * DRIFT_PERCENT) / 100
    }
}

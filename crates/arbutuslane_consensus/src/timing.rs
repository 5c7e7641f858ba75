//! Heartbeat intervals, election timeouts and the lease duration.

use std::time::Duration;

/// The largest difference in rate between a clock and real time that leases tolerate, in percent.
///
/// Quartz clocks differ by under 0.02%; 1% leaves room for clocks that a time service slews.
pub const MAX_CLOCK_DRIFT_PERCENT: u32 = 1;

/// The timing of one control group; all its replicas must use the same values.
#[derive(Debug, Clone)]
pub struct Timing {
    /// The time between two heartbeats of a leader.
    pub heartbeat_interval: Duration,
    /// The shortest time without a leader after which a replica campaigns; also the time for which
    /// it refuses its vote after hearing from a leader.
    pub election_timeout_min: Duration,
    /// The longest time without a leader after which a replica campaigns.
    pub election_timeout_max: Duration,
    /// The shortest time between two transfers of a snapshot to the same replica.
    pub snapshot_retry_interval: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(150),
            election_timeout_min: Duration::from_millis(600),
            election_timeout_max: Duration::from_millis(1_200),
            snapshot_retry_interval: Duration::from_secs(2),
        }
    }
}

impl Timing {
    /// Returns how long after a heartbeat was sent its acknowledgement supports reads.
    ///
    /// A follower refuses its vote for `election_timeout_min` by its own clock, which may run fast
    /// by [`MAX_CLOCK_DRIFT_PERCENT`] while the leader's clock runs slow by as much.
    pub fn lease_duration(&self) -> Duration {
        self.election_timeout_min * (100 - 2 * MAX_CLOCK_DRIFT_PERCENT) / 100
    }
}

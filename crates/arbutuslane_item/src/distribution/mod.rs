//! Decides how accepted items reach all nodes: by messages that nodes relay, and by comparisons that
//! find what those messages missed.

mod branch;
mod sources;

use std::time::Duration;

pub use branch::{Branch, RELAY_BRANCHES, RELAY_TIMEOUT, Receiver};
pub use sources::Sources;

/// The shortest time between two rounds in which an instance tells all nodes what is accepted.
/// Changes that are accepted meanwhile share a message.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// The mean time between two comparisons of a node. It does not depend on the size of the fleet, so that
/// the time until a lost message is repaired does not either.
const COMPARE_INTERVAL: Duration = Duration::from_millis(700);

/// The time between two comparisons of a node that has no configuration yet.
pub const STARTUP_COMPARE_INTERVAL: Duration = Duration::from_millis(100);

/// The longest wait for the response of a process that a node compares its items with, before it asks
/// another one.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// The time for which a response that was waited for is still used.
pub const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(3);

/// Returns the time until the next comparison of a node; `jitter` is a factor around 1 that differs
/// between nodes.
pub fn compare_interval(jitter: f64) -> Duration {
    COMPARE_INTERVAL.mul_f64(jitter)
}

//! When a second copy of a late request is sent to another server.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;

use crate::budget::RetryBudget;
use crate::deadline::Deadline;

/// Hedges are sent after this multiple of the peers' 90th percentile.
const DELAY_FACTOR: u32 = 2;

/// The shortest delay; below it a hedge costs more than it saves.
const DELAY_FLOOR: Duration = Duration::from_millis(10);

/// Returns how long to wait for an answer before a hedge is considered, or nothing when the class
/// is never hedged or the peers' 90th percentile is unknown.
///
/// Downloads are not hedged, because a second copy doubles the bytes.
pub fn delay(class: Class, peers_p90: Option<Duration>) -> Option<Duration> {
    if class != Class::Idempotent {
        return None;
    }
    Some((peers_p90? * DELAY_FACTOR).max(DELAY_FLOOR))
}

/// Decides whether the hedge is sent once the delay has passed, and charges the budget.
///
/// A hedge that cannot be answered within the deadline (`expected`: the peers' median) is not sent.
pub fn decide(deadline: Deadline, expected: Duration, budget: &mut RetryBudget, now: Time) -> bool {
    deadline.remaining(now) > expected && budget.spend()
}

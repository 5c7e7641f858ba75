//! Hedging: sending a second copy of a late request to another server.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;

use crate::budget::RetryBudget;
use crate::deadline::Deadline;

/// The hedge delay as a multiple of the peers' 90th latency percentile.
const DELAY_P90_MULTIPLE: u32 = 2;

/// The shortest hedge delay; with a shorter one, a hedge costs more than it saves.
const MIN_DELAY: Duration = Duration::from_millis(10);

/// Returns how long to wait for a response before a hedge is considered, or `None` when the class
/// is never hedged or the peers' 90th percentile is unknown.
///
/// Downloads are not hedged, because a second copy doubles the bytes.
pub fn delay(class: Class, peers_p90: Option<Duration>) -> Option<Duration> {
    if class != Class::Idempotent {
        return None;
    }
    Some((peers_p90? * DELAY_P90_MULTIPLE).max(MIN_DELAY))
}

/// Returns whether a hedge is sent after its delay, and charges it to the budget if so.
///
/// A hedge is not sent when no more than the `expected` latency (the peers' median) remains until
/// the deadline.
pub fn decide(deadline: Deadline, expected: Duration, budget: &mut RetryBudget, now: Time) -> bool {
    deadline.remaining(now) > expected && budget.spend()
}

//! A hybrid logical clock, whose stamps follow causal order and stay close to wall-clock time.

use std::sync::{Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use arbutuslane_core::time::millis;

/// The most milliseconds by which a received stamp may be ahead of the local wall clock.
///
/// Without a limit, one instance with a wrong clock would advance the stamps of the whole fleet.
pub const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// A position in the causal order of the fleet's events.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Stamp {
    /// Milliseconds since 1970-01-01 UTC; never less than in an earlier stamp of the clock or in a
    /// remote stamp that the clock accepted.
    pub wall_ms: u64,
    /// Orders stamps of the same millisecond.
    pub counter: u32,
}

/// The hybrid logical clock of one process.
///
/// ```
/// use arbutuslane_event::clock::Clock;
///
/// let (sender, receiver) = (Clock::default(), Clock::default());
/// let sent = sender.tick(5_000);
/// // The receiver's wall clock is 2 s behind, but its next stamp still follows the message's.
/// assert!(receiver.observe(3_000, sent) > sent);
/// ```
#[derive(Debug, Default)]
pub struct Clock {
    last: Mutex<Stamp>,
}

impl Clock {
    /// Returns the stamp of a local event that happens at `wall_ms`.
    pub fn tick(&self, wall_ms: u64) -> Stamp {
        self.observe(wall_ms, Stamp::default())
    }

    /// Returns the stamp of the receipt, at `wall_ms`, of a message that was stamped `remote`.
    ///
    /// A remote stamp more than [`MAX_CLOCK_SKEW_MS`] ahead of `wall_ms` is ignored.
    pub fn observe(&self, wall_ms: u64, remote: Stamp) -> Stamp {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let mut highest = *last;
        if remote > highest && remote.wall_ms <= wall_ms.saturating_add(MAX_CLOCK_SKEW_MS) {
            highest = remote;
        }
        *last = if wall_ms > highest.wall_ms {
            Stamp { wall_ms, counter: 0 }
        } else if let Some(counter) = highest.counter.checked_add(1) {
            Stamp { wall_ms: highest.wall_ms, counter }
        } else {
            Stamp { wall_ms: highest.wall_ms + 1, counter: 0 }
        };
        *last
    }
}

/// Returns the milliseconds since 1970-01-01 UTC according to the system clock.
pub fn wall_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    millis(since_epoch)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against stamps that go back when the wall clock is set back.
    #[test]
    fn tick_clock_set_back() {
        let clock = Clock::default();
        let first = clock.tick(9_000);
        assert!(clock.tick(1_000) > first);
    }

    /// Guards against one instance with a wrong clock that advances the stamps of all others: a
    /// stamp beyond the permitted skew must be ignored.
    #[test]
    fn observe_far_ahead() {
        let clock = Clock::default();
        let remote = Stamp { wall_ms: 5_000 + MAX_CLOCK_SKEW_MS + 1, counter: 0 };
        assert_eq!(clock.observe(5_000, remote).wall_ms, 5_000);
    }

    /// Guards against a counter that overflows and makes the next stamp smaller.
    #[test]
    fn observe_counter_full() {
        let clock = Clock::default();
        let remote = Stamp { wall_ms: 5_000, counter: u32::MAX };
        assert!(clock.observe(5_000, remote) > remote);
    }
}

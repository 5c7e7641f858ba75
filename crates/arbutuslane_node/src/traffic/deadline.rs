//! The time that remains for a request.

use std::time::Duration;

use ntex::http::HeaderMap;

use arbutuslane_core::time::Time;
use arbutuslane_wire::header;

/// The longest deadline that a caller may state.
const LONGEST: Duration = Duration::from_secs(600);

/// The time that the response needs on its way back over one hop.
///
/// Without it the next hop's refusal, which can prove that the request did not run, arrives after
/// this hop has given up and must report that the request may have run. Its bound is the longest
/// round trip between failure domains (3 ms) and the granularity of the timers.
const HOP: Duration = Duration::from_millis(20);

/// The point in time after which a response is of no use to the caller.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Deadline {
    at: Time,
}

impl Deadline {
    /// Reads the remaining time from `headers`, or uses `default`.
    pub(crate) fn read(headers: &HeaderMap, default: Duration, now: Time) -> Self {
        let stated = headers.get(header::DEADLINE_MS).and_then(|value| value.to_str().ok());
        let stated = stated.and_then(|value| value.trim().parse().ok()).map(Duration::from_millis);
        Self { at: now + stated.unwrap_or(default).min(LONGEST) }
    }

    /// Returns the time that remains at `now`.
    pub(crate) fn remaining(&self, now: Time) -> Duration {
        self.at.saturating_sub(now)
    }

    /// Returns whether the deadline has passed at `now`; less than 1 ms counts as passed.
    pub(crate) fn passed(&self, now: Time) -> bool {
        self.remaining(now) < Duration::from_millis(1)
    }

    /// Returns the header value for the next hop, which has a little less time.
    pub(crate) fn encode(&self, now: Time) -> String {
        let remaining = self.remaining(now);
        remaining.saturating_sub(HOP.min(remaining / 4)).as_millis().to_string()
    }
}

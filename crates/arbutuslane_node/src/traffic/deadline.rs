//! Deadlines in header fields.

use std::time::Duration;

use ntex::http::HeaderMap;

use arbutuslane_core::time::Time;
use arbutuslane_limit::deadline::Deadline;
use arbutuslane_wire::header;

use super::fields;

/// The maximum deadline that a caller may request.
const MAX_DEADLINE: Duration = Duration::from_secs(600);

/// The time reserved for the response to return over one hop.
///
/// Without it, the next hop's refusal, which can prove that the request did not run, arrives after
/// this hop has timed out and must report that the request may have run. It covers the longest
/// round trip between failure domains (3 ms) and the granularity of the timers.
const HOP_ALLOWANCE: Duration = Duration::from_millis(20);

/// Reads the remaining time from the fleet's own header field, or uses `default`.
pub(crate) fn read(headers: &HeaderMap, default: Duration, now: Time) -> Deadline {
    read_from(header::DEADLINE_MS, headers, default, now)
}

/// Reads the remaining time from the header field `field`, or uses `default`.
pub(crate) fn read_from(
    field: &str,
    headers: &HeaderMap,
    default: Duration,
    now: Time,
) -> Deadline {
    let stated = fields::text(headers, field);
    let stated = stated.and_then(|value| value.trim().parse().ok()).map(Duration::from_millis);
    Deadline::after(now, stated.unwrap_or(default).min(MAX_DEADLINE))
}

/// Returns whether `deadline` has passed at `now`; a remainder below 1 ms counts as passed.
pub(crate) fn has_passed(deadline: Deadline, now: Time) -> bool {
    deadline.remaining(now) < Duration::from_millis(1)
}

/// Returns the header value for the next hop, reduced by the time reserved for the response.
pub(crate) fn encode(deadline: Deadline, now: Time) -> String {
    let allowance = HOP_ALLOWANCE.min(deadline.remaining(now) / 4);
    deadline.reduced(allowance).remaining_ms(now).to_string()
}

//! Records events for intervals in which requests were refused or ended with an unknown outcome.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbutuslane_core::time::millis;
use arbutuslane_event::kind::Kind;
use ntex::time::sleep;

use crate::shared::Shared;

/// The length of an interval, in which at most one event of each kind is recorded.
const BURST_INTERVAL: Duration = Duration::from_secs(10);

/// The number of refusals in an interval from which an event is recorded. Fewer are part of normal
/// operation: callers send such requests again.
const NOT_RUN_THRESHOLD: u64 = 5;

/// The cause in each event: the counters hold outcomes without their causes.
const CAUSE: &str = "unspecified";

/// The values of the counters at the end of an interval.
#[derive(Debug, Default)]
struct Counters {
    not_run: u64,
    unknown: u64,
}

/// Compares the counters of requests once per interval until the process ends.
pub(super) async fn run(shared: Arc<Shared>) {
    let mut last = Counters::default();
    loop {
        sleep(BURST_INTERVAL).await;
        let metrics = &shared.metrics;
        let now = Counters {
            not_run: metrics.not_run.load(Ordering::Relaxed),
            unknown: metrics.unknown.load(Ordering::Relaxed),
        };
        for kind in bursts(&last, &now) {
            shared.events.record(kind);
        }
        last = now;
    }
}

/// Returns the events of an interval that began with the counters `last` and ended with `now`.
fn bursts(last: &Counters, now: &Counters) -> Vec<Kind> {
    let window_ms = millis(BURST_INTERVAL);
    let mut kinds = Vec::new();
    let count = now.not_run.saturating_sub(last.not_run);
    if count >= NOT_RUN_THRESHOLD {
        kinds.push(Kind::NotRunBurst { count, cause: CAUSE.to_string(), window_ms });
    }
    let count = now.unknown.saturating_sub(last.unknown);
    if count > 0 {
        kinds.push(Kind::UnknownBurst { count, cause: CAUSE.to_string(), window_ms });
    }
    kinds
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a single unknown outcome without an event, and against an event for each
    /// single refusal.
    #[test]
    fn bursts_thresholds() {
        let counters = |not_run, unknown| Counters { not_run, unknown };
        let names =
            |last, now| -> Vec<&str> { bursts(&last, &now).iter().map(Kind::name).collect() };
        assert_eq!(names(counters(10, 3), counters(14, 3)), Vec::<&str>::new());
        assert_eq!(names(counters(10, 3), counters(15, 3)), ["not-run-burst"]);
        assert_eq!(names(counters(10, 3), counters(10, 4)), ["unknown-burst"]);
    }
}

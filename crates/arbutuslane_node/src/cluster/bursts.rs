//! Records intervals in which requests were refused or ended with an unknown outcome.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arbutuslane_event::kind::Kind;
use ntex::time::sleep;

use crate::shared::Shared;

/// The length of an interval; each one records at most one event of a kind.
const WINDOW: Duration = Duration::from_secs(10);

/// Fewer refusals in an interval are part of normal operation: callers send such requests again.
const NOT_RUN_LEAST: u64 = 5;

/// The node counts outcomes without their causes.
const CAUSE: &str = "unspecified";

/// The counters at the end of the last interval.
#[derive(Debug, Default)]
struct Counters {
    not_run: u64,
    unknown: u64,
}

/// Compares the counters of requests once in each interval until the process ends.
pub(super) async fn work(shared: Arc<Shared>) {
    let mut last = Counters::default();
    loop {
        sleep(WINDOW).await;
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

fn bursts(last: &Counters, now: &Counters) -> Vec<Kind> {
    let window_ms = u64::try_from(WINDOW.as_millis()).unwrap_or(u64::MAX);
    let mut kinds = Vec::new();
    let count = now.not_run.saturating_sub(last.not_run);
    if count >= NOT_RUN_LEAST {
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

    /// Guards against one unknown outcome that nobody is told of, and against an event for each
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

//! The figures that one run measures.

use std::time::Duration;

use arbutuslane_core::time::Time;
use hdrhistogram::Histogram;

/// The figures of one run, counted from the start of the fault.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// The time from the start of the fault to the ejection of server 0.
    pub detection: Option<Duration>,
    /// Ejections of healthy servers in the whole run.
    pub false_ejections: u32,
    /// All ejections in the whole run.
    pub ejections: u32,
    /// First requests of callers.
    pub offered: u64,
    /// Requests answered within their deadline.
    pub in_time: u64,
    /// Requests of callers, resends included, that ended without a successful response.
    pub failed: u64,
    /// Resends by callers.
    pub resends: u64,
    /// Retries by the fleet.
    pub retries: u64,
    /// Requests that server 0 ran from the start of the fault on.
    pub target_ran: u64,
    /// Requests whose successful response came after their deadline.
    pub late: u64,
    /// The largest number of permits held at once.
    pub max_permits: usize,
    /// The requests that ended in each second of the run.
    pub seconds: Vec<Second>,
    /// Latencies of answered requests in microseconds.
    pub latency: Histogram<u64>,
}

/// The requests that ended in one second of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Second {
    /// All requests that ended.
    pub ended: u32,
    /// Requests answered within their deadline.
    pub in_time: u32,
}

impl Outcome {
    pub(crate) fn new() -> Self {
        Self {
            detection: None,
            false_ejections: 0,
            ejections: 0,
            offered: 0,
            in_time: 0,
            failed: 0,
            resends: 0,
            retries: 0,
            target_ran: 0,
            late: 0,
            max_permits: 0,
            seconds: Vec::new(),
            latency: Histogram::new_with_bounds(1, 600_000_000, 3)
                .unwrap_or_else(|error| panic!("histogram bounds are constants: {error}")),
        }
    }

    /// Returns the counts of the second that contains `now`.
    pub(crate) fn second(&mut self, now: Time) -> &mut Second {
        let index = usize::try_from(now.as_secs()).unwrap_or(0);
        if self.seconds.len() <= index {
            self.seconds.resize(index + 1, Second::default());
        }
        &mut self.seconds[index]
    }
}

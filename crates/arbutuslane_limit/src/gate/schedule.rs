//! When the slots of a server become free.

use std::time::Duration;

use arbutuslane_core::time::Time;

use super::Gate;

/// The expected times at which queued requests start, one after another.
#[derive(Debug, Clone)]
pub(super) struct Schedule {
    /// The time until each slot is free; empty if the server has no slots.
    free: Vec<Duration>,
    /// The number of requests that have been given a slot.
    starts: u32,
}

impl Schedule {
    /// Returns the schedule of the slots that the running requests leave.
    pub(super) fn new(gate: &Gate, now: Time) -> Self {
        let mut free: Vec<Duration> = gate
            .running
            .iter()
            .map(|running| {
                let mean = gate.service_times.mean_or_overall(running.kind);
                let deviation = gate.upper_service_time(running.kind).saturating_sub(mean);
                // A request that has run for longer than the mean is expected to take as much longer again.
                mean.abs_diff(now.saturating_sub(running.since)).max(deviation)
            })
            .collect();
        free.sort_unstable();
        // After a reduction of the slots, more requests run than there are slots.
        free.drain(..free.len().saturating_sub(gate.slots));
        free.resize(gate.slots, Duration::ZERO);
        Self { free, starts: 0 }
    }

    /// Gives the next free slot to a request that takes `work`; returns the time until it starts.
    pub(super) fn take(&mut self, gate: &Gate, work: Duration, now: Time) -> Duration {
        let paced = gate.pace.as_ref().map(|pace| pace.wait_behind(self.starts, now));
        let paced = paced.unwrap_or_default();
        self.starts += 1;
        let Some(first) = self.free.iter_mut().min() else { return paced };
        let start = paced.max(*first);
        *first = start + work;
        start
    }
}

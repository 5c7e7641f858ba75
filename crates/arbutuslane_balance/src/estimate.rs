//! The load and latency of one server as an entry estimates them.

use std::time::Duration;

use arbutuslane_core::time::Time;

use crate::candidate::{Load, Serving};
use crate::picker::Weights;

/// What was measured of one server.
#[derive(Debug, Clone)]
pub(crate) struct Estimate {
    pub(crate) own_in_flight: u32,
    pub(crate) serving: Serving,
    ramp_percent: u32,
    reported_others: f64,
    pub(crate) reported_at: Time,
    refused_at: Option<Time>,
    latency: f64,
    latency_at: Time,
    success: f64,
}

/// What a refusal adds to the work per slot: the slots are busy and the queue is about full.
const REFUSED: f64 = 2.0;

/// The seconds in which it loses half of that; a queue of ten takes about this long to run.
const REFUSED_HALF_LIFE: f64 = 0.1;

/// The time constant of the latency mean.
const LATENCY_SECONDS: f64 = 1.0;

/// The weight of the newest outcome in the success rate.
const SUCCESS_WEIGHT: f64 = 0.05;

impl Estimate {
    pub(crate) fn new(serving: Serving, now: Time) -> Self {
        Self {
            own_in_flight: 0,
            serving,
            ramp_percent: 100,
            reported_others: 0.0,
            reported_at: now,
            refused_at: None,
            latency: 0.0,
            latency_at: now,
            success: 1.0,
        }
    }

    pub(crate) fn report(&mut self, load: &Load, now: Time) {
        self.serving = load.serving;
        self.ramp_percent = load.ramp_percent.clamp(1, 100);
        let total = load.in_flight + load.queued;
        self.reported_others = f64::from(total.saturating_sub(self.own_in_flight));
        self.reported_at = now;
    }

    /// Takes in that the owner refused a request as not run.
    pub(crate) fn refuse(&mut self, now: Time) {
        self.refused_at = Some(now);
    }

    pub(crate) fn observe(&mut self, latency: Option<Duration>, success: bool, now: Time) {
        let outcome = if success { 1.0 } else { 0.0 };
        self.success += SUCCESS_WEIGHT * (outcome - self.success);
        let Some(latency) = latency else { return };
        let sample = latency.as_secs_f64();
        // A failure ends a request early, and shows only that it would have taken longer.
        if !success && sample <= self.latency {
            return;
        }
        let elapsed = now.saturating_sub(self.latency_at).as_secs_f64();
        // A sample weighs at least 5%, so that a busy server's mean is not one single request.
        let keep = (-elapsed / LATENCY_SECONDS).exp().min(0.95);
        self.latency =
            if self.latency == 0.0 { sample } else { self.latency * keep + sample * (1.0 - keep) };
        self.latency_at = now;
    }

    /// Returns the expected work per effective slot.
    pub(crate) fn utilization(&self, slots: u32, mean: f64, weights: &Weights, now: Time) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let kept = (-age / (weights.report_half_life * mean).max(1e-6)).exp2();
        let ramp = f64::from(self.ramp_percent) / 100.0;
        let work = f64::from(self.own_in_flight) + self.reported_others * kept;
        let refused = self.refused_at.map_or(0.0, |at| {
            let age = now.saturating_sub(at).as_secs_f64();
            REFUSED * (-age / REFUSED_HALF_LIFE).exp2()
        });
        work / (f64::from(slots.max(1)) * ramp) + refused
    }

    /// Returns the cost of one more request here, where `mean` is the latency over all servers in
    /// seconds; the server with the lowest cost is chosen.
    ///
    /// The success rate keeps a server that fails at once, and therefore looks idle, from
    /// attracting work.
    pub(crate) fn score(&self, slots: u32, mean: f64, weights: &Weights, now: Time) -> f64 {
        let ramp = f64::from(self.ramp_percent) / 100.0;
        let share = 1.0 / (f64::from(slots.max(1)) * ramp);
        let latency = if self.latency == 0.0 { 1.0 } else { self.latency / mean };
        let latency = latency.clamp(1.0 / weights.latency_limit, weights.latency_limit);
        let success = self.success.max(weights.success_floor);
        (self.utilization(slots, mean, weights, now) + share) * latency / success
    }
}

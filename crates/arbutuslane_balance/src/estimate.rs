//! An entry's estimate of the load, latency and success rate of one server.

use std::time::Duration;

use arbutuslane_core::time::Time;

use crate::candidate::{Load, Serving};
use crate::picker::Weights;

/// The measurements of one server and the score derived from them.
#[derive(Debug, Clone)]
pub(crate) struct Estimate {
    /// The number of this entry's own requests in flight.
    pub(crate) own_in_flight: u32,
    pub(crate) serving: Serving,
    ramp_percent: u32,
    /// The number of other entries' requests in the last report.
    others_in_flight: f64,
    pub(crate) reported_at: Time,
    refused_at: Option<Time>,
    /// The mean latency in seconds; 0 while unknown.
    latency: f64,
    latency_at: Time,
    /// The share of recent requests that succeeded.
    success: f64,
}

/// The utilization that a refusal adds: the slots are busy and the queue is about full.
const REFUSAL_UTILIZATION: f64 = 2.0;

/// The half-life of the added utilization, in seconds; a queue of ten takes about this long to run.
const REFUSAL_HALF_LIFE_S: f64 = 0.1;

/// The time constant of the latency mean, in seconds.
const LATENCY_TIME_CONSTANT_S: f64 = 1.0;

/// The weight of the newest outcome in the success rate.
const SUCCESS_WEIGHT: f64 = 0.05;

impl Estimate {
    pub(crate) fn new(serving: Serving, now: Time) -> Self {
        Self {
            own_in_flight: 0,
            serving,
            ramp_percent: 100,
            others_in_flight: 0.0,
            reported_at: now,
            refused_at: None,
            latency: 0.0,
            latency_at: now,
            success: 1.0,
        }
    }

    pub(crate) fn record_report(&mut self, load: &Load, now: Time) {
        self.serving = load.serving;
        self.ramp_percent = load.ramp_percent.clamp(1, 100);
        let total = load.in_flight + load.queued;
        self.others_in_flight = f64::from(total.saturating_sub(self.own_in_flight));
        self.reported_at = now;
    }

    /// Records that the owner refused a request as not run.
    pub(crate) fn record_refusal(&mut self, now: Time) {
        self.refused_at = Some(now);
    }

    pub(crate) fn record_outcome(&mut self, latency: Option<Duration>, success: bool, now: Time) {
        let outcome = if success { 1.0 } else { 0.0 };
        self.success += SUCCESS_WEIGHT * (outcome - self.success);
        let Some(latency) = latency else { return };
        let sample = latency.as_secs_f64();
        // A failure ends a request early, so its latency is only a lower bound.
        if !success && sample <= self.latency {
            return;
        }
        let elapsed = now.saturating_sub(self.latency_at).as_secs_f64();
        // A sample weighs at least 5%; otherwise a single request dominates a busy server's mean.
        let old_weight = (-elapsed / LATENCY_TIME_CONSTANT_S).exp().min(0.95);
        self.latency = if self.latency == 0.0 {
            sample
        } else {
            self.latency * old_weight + sample * (1.0 - old_weight)
        };
        self.latency_at = now;
    }

    /// Returns the expected number of requests per effective slot.
    pub(crate) fn utilization(&self, slots: u32, mean: f64, weights: &Weights, now: Time) -> f64 {
        let age = now.saturating_sub(self.reported_at).as_secs_f64();
        let report_weight = (-age / (weights.report_half_life * mean).max(1e-6)).exp2();
        let ramp = f64::from(self.ramp_percent) / 100.0;
        let requests = f64::from(self.own_in_flight) + self.others_in_flight * report_weight;
        let refusal_utilization = self.refused_at.map_or(0.0, |at| {
            let age = now.saturating_sub(at).as_secs_f64();
            REFUSAL_UTILIZATION * (-age / REFUSAL_HALF_LIFE_S).exp2()
        });
        requests / (f64::from(slots.max(1)) * ramp) + refusal_utilization
    }

    /// Returns the cost of sending one more request to this server; the server with the lowest cost
    /// is chosen. `mean` is the mean latency over all servers in seconds.
    ///
    /// Dividing by the success rate keeps a server that fails requests at once, and therefore looks
    /// idle, from attracting requests.
    pub(crate) fn score(&self, slots: u32, mean: f64, weights: &Weights, now: Time) -> f64 {
        let ramp = f64::from(self.ramp_percent) / 100.0;
        let share = 1.0 / (f64::from(slots.max(1)) * ramp);
        let latency = if self.latency == 0.0 { 1.0 } else { self.latency / mean };
        let latency = latency.clamp(1.0 / weights.latency_limit, weights.latency_limit);
        let success = self.success.max(weights.success_floor);
        (self.utilization(slots, mean, weights, now) + share) * latency / success
    }
}

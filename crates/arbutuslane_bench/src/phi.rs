//! A phi accrual detector on the times between successful responses, for comparison.

use std::time::Duration;

use arbutuslane_core::time::Time;
use arbutuslane_health::baseline::Rule;

/// Suspects a server whose next successful response is overdue for the distribution of the past.
#[derive(Debug, Clone)]
pub struct Phi {
    servers: Vec<State>,
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    last: Option<Time>,
    mean: f64,
    variance: f64,
    seen: u32,
    until: Time,
}

/// The usual threshold.
const THRESHOLD: f64 = 8.0;

/// An ejection lasts this long.
const EJECTION: Duration = Duration::from_secs(30);

/// Intervals before which a server is not judged.
const SEEN_FLOOR: u32 = 50;

impl Phi {
    /// Returns the detector for `servers` servers.
    pub fn new(servers: usize) -> Self {
        Self { servers: vec![State::default(); servers] }
    }
}

impl Rule for Phi {
    fn observe(&mut self, server: usize, success: bool, now: Time) {
        if !success {
            return;
        }
        let state = &mut self.servers[server];
        if let Some(last) = state.last.filter(|last| *last >= state.until) {
            let interval = now.saturating_sub(last).as_secs_f64();
            let weight = if state.seen < 100 { 1.0 / f64::from(state.seen + 1) } else { 0.01 };
            let difference = interval - state.mean;
            state.mean += weight * difference;
            state.variance = (1.0 - weight) * (state.variance + weight * difference * difference);
            state.seen += 1;
        }
        state.last = Some(now);
    }

    fn is_ejected(&mut self, server: usize, now: Time) -> bool {
        let state = &mut self.servers[server];
        if state.until > now {
            return true;
        }
        let Some(last) = state.last.filter(|_| state.seen >= SEEN_FLOOR) else { return false };
        let overdue =
            (now.saturating_sub(last).as_secs_f64() - state.mean) / state.variance.sqrt().max(1e-4);
        // The logistic approximation of the normal distribution's tail.
        let exponent = overdue * (1.5976 + 0.070566 * overdue * overdue);
        let phi = if exponent > 30.0 {
            exponent / std::f64::consts::LN_10
        } else {
            (1.0 + exponent.exp()).log10()
        };
        if phi < THRESHOLD {
            return false;
        }
        state.until = now + EJECTION;
        state.last = Some(state.until);
        true
    }
}

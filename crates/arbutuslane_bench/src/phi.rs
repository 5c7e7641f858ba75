//! A phi accrual detector on the times between successful responses, for comparison.

use std::time::Duration;

use arbutuslane_core::time::Time;
use arbutuslane_health::baseline::Rule;

/// Ejects a server whose next successful response is overdue by the distribution of its past
/// intervals between successful responses.
#[derive(Debug, Clone)]
pub struct Phi {
    servers: Vec<State>,
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    /// The last successful response, or the end of the last ejection if that is later.
    last: Option<Time>,
    /// The moving mean of the intervals in seconds.
    mean: f64,
    /// The moving variance of the intervals.
    variance: f64,
    /// The number of intervals so far.
    count: u32,
    /// The end of the last ejection.
    ejected_until: Time,
}

/// The usual threshold of phi, from which a server is ejected.
const PHI_THRESHOLD: f64 = 8.0;

/// The duration of an ejection.
const EJECTION_DURATION: Duration = Duration::from_secs(30);

/// The number of intervals that must be known before a server can be ejected.
const MIN_COUNT: u32 = 50;

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
        if let Some(last) = state.last.filter(|last| *last >= state.ejected_until) {
            let interval = now.saturating_sub(last).as_secs_f64();
            let weight = if state.count < 100 { 1.0 / f64::from(state.count + 1) } else { 0.01 };
            let difference = interval - state.mean;
            state.mean += weight * difference;
            state.variance = (1.0 - weight) * (state.variance + weight * difference * difference);
            state.count += 1;
        }
        state.last = Some(now);
    }

    fn is_ejected(&mut self, server: usize, now: Time) -> bool {
        let state = &mut self.servers[server];
        if state.ejected_until > now {
            return true;
        }
        let Some(last) = state.last.filter(|_| state.count >= MIN_COUNT) else { return false };
        let overdue =
            (now.saturating_sub(last).as_secs_f64() - state.mean) / state.variance.sqrt().max(1e-4);
        // Approximates the tail of the normal distribution by a logistic function.
        let exponent = overdue * (1.5976 + 0.070566 * overdue * overdue);
        let phi = if exponent > 30.0 {
            exponent / std::f64::consts::LN_10
        } else {
            (1.0 + exponent.exp()).log10()
        };
        if phi < PHI_THRESHOLD {
            return false;
        }
        state.ejected_until = now + EJECTION_DURATION;
        state.last = Some(state.ejected_until);
        true
    }
}

//! A sequential test that no single caller or route can decide.

/// The number of groups into which callers, and routes, are hashed.
const GROUPS: usize = 8;

/// A group with more than this share of the requests is not left out: without it, almost nothing
/// would remain to decide on.
const DOMINANT: f64 = 0.95;

/// What is added to the threshold when a sum comes close to its limit before all have reached the
/// threshold. Then one caller or route is bad, and only the sum without it guards against chance,
/// while the lowest of 16 sums does so for a server whose callers and routes are all well.
const CONCENTRATED: f64 = 3.0;

/// How close: healthy requests in between lower a sum that a bad group keeps at its limit.
const BELOW_LIMIT: f64 = 4.0;

/// The mix is halved when it holds this many requests.
const HORIZON: f64 = 1_000.0;

/// The shares of caller and route groups in the requests of one class.
#[derive(Debug, Clone)]
pub(crate) struct Mix {
    callers: [f64; GROUPS],
    routes: [f64; GROUPS],
    total: f64,
}

/// The groups of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Group {
    caller: usize,
    route: usize,
}

impl Group {
    pub(crate) fn of(caller: u64, route: u64) -> Self {
        Self { caller: group(caller), route: group(route) }
    }
}

impl Default for Mix {
    /// Returns a mix with one request in each group, so that the first requests of a server, which
    /// may all come from one caller, do not make that caller dominant.
    fn default() -> Self {
        Self { callers: [1.0; GROUPS], routes: [1.0; GROUPS], total: 8.0 }
    }
}

impl Mix {
    pub(crate) fn count(&mut self, group: Group) {
        self.callers[group.caller] += 1.0;
        self.routes[group.route] += 1.0;
        self.total += 1.0;
        if self.total < HORIZON {
            return;
        }
        self.total /= 2.0;
        for count in self.callers.iter_mut().chain(&mut self.routes) {
            *count /= 2.0;
        }
    }
}

/// Cumulative sums of log-likelihood ratios, one with each group left out.
///
/// The score is the lowest of the sums. A caller or route whose requests alone are bad raises all
/// sums but that of its own group, and so never the score. False alarms stay as rare as for a
/// single sum, because each sum is a cumulative sum test of its own over independent requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Cusum {
    callers: [f64; GROUPS],
    routes: [f64; GROUPS],
}

impl Cusum {
    /// Adds the ratio of one request; sums stay between 0 and `limit`.
    pub(crate) fn add(&mut self, ratio: f64, group: Group, limit: f64) {
        for (place, sum) in self.callers.iter_mut().enumerate() {
            if place != group.caller {
                *sum = (*sum + ratio).clamp(0.0, limit);
            }
        }
        for (place, sum) in self.routes.iter_mut().enumerate() {
            if place != group.route {
                *sum = (*sum + ratio).clamp(0.0, limit);
            }
        }
    }

    pub(crate) fn highest(&self) -> f64 {
        self.callers.iter().chain(&self.routes).copied().fold(0.0, f64::max)
    }

    /// Returns whether every sum has reached `threshold`, or `threshold` and `CONCENTRATED` when one
    /// has come close to `limit` before.
    pub(crate) fn reaches(&self, threshold: f64, limit: f64, mix: &Mix) -> bool {
        let dominant = mix.total * DOMINANT;
        let mut lowest = f64::MAX;
        let sums = self.callers.iter().zip(&mix.callers).chain(self.routes.iter().zip(&mix.routes));
        for (sum, count) in sums {
            if *count <= dominant {
                lowest = lowest.min(*sum);
            }
        }
        let is_concentrated = self.highest() >= limit - BELOW_LIMIT;
        let needed = if is_concentrated { threshold + CONCENTRATED } else { threshold };
        lowest >= needed
    }
}

/// Returns the group of a caller or route id; ids may be consecutive numbers.
fn group(id: u64) -> usize {
    let spread = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 61;
    usize::try_from(spread).unwrap_or(0) % GROUPS
}

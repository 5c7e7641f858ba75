//! A sequential test whose result no single caller or route can decide.

/// The number of groups into which callers, and routes, are hashed.
const GROUP_COUNT: usize = 8;

/// The share of requests above which a group is not left out of a sum, because too few requests
/// would remain to decide on.
const DOMINANT_SHARE: f64 = 0.95;

/// The amount added to the threshold when one sum is close to its limit before all sums have
/// reached the threshold. Then one caller or route is bad, and only the sum without it guards
/// against a false alarm by chance. For a server whose callers and routes are all healthy, the
/// lowest of 16 sums does.
const CONCENTRATION_MARGIN: f64 = 3.0;

/// The distance from its limit within which a sum counts as close to it. Healthy requests lower the
/// sum between the requests of a bad group that raise it to its limit.
const NEAR_LIMIT_DISTANCE: f64 = 4.0;

/// The number of requests at which the group counts are halved.
const HALVING_COUNT: f64 = 1_000.0;

/// The decayed numbers of requests of each caller group and each route group.
#[derive(Debug, Clone)]
pub(crate) struct GroupCounts {
    callers: [f64; GROUP_COUNT],
    routes: [f64; GROUP_COUNT],
    total: f64,
}

/// The caller group and the route group of one request.
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

impl Default for GroupCounts {
    /// Returns counts with one request in each group. The first requests of a server may all come
    /// from one caller, and this keeps that caller from being dominant.
    fn default() -> Self {
        Self { callers: [1.0; GROUP_COUNT], routes: [1.0; GROUP_COUNT], total: 8.0 }
    }
}

impl GroupCounts {
    pub(crate) fn add(&mut self, group: Group) {
        self.callers[group.caller] += 1.0;
        self.routes[group.route] += 1.0;
        self.total += 1.0;
        if self.total < HALVING_COUNT {
            return;
        }
        self.total /= 2.0;
        for count in self.callers.iter_mut().chain(&mut self.routes) {
            *count /= 2.0;
        }
    }
}

/// Cumulative sums of log-likelihood ratios, one for each group, without the requests of that
/// group.
///
/// The lowest of the sums decides. A caller or route that alone has bad requests raises all sums
/// except the one without its group, and so never the lowest one. False alarms are as rare as with
/// a single sum, because each sum is a cumulative sum test of its own over independent requests.
#[derive(Debug, Clone, Default)]
pub(crate) struct Cusum {
    callers: [f64; GROUP_COUNT],
    routes: [f64; GROUP_COUNT],
}

impl Cusum {
    /// Adds the log-likelihood ratio of one request; sums stay between 0 and `limit`.
    pub(crate) fn add(&mut self, ratio: f64, group: Group, limit: f64) {
        for (index, sum) in self.callers.iter_mut().enumerate() {
            if index != group.caller {
                *sum = (*sum + ratio).clamp(0.0, limit);
            }
        }
        for (index, sum) in self.routes.iter_mut().enumerate() {
            if index != group.route {
                *sum = (*sum + ratio).clamp(0.0, limit);
            }
        }
    }

    pub(crate) fn highest_sum(&self) -> f64 {
        self.callers.iter().chain(&self.routes).copied().fold(0.0, f64::max)
    }

    /// Returns whether every sum has reached `threshold`, or `threshold + CONCENTRATION_MARGIN`
    /// when one of them is close to `limit`.
    pub(crate) fn reaches(&self, threshold: f64, limit: f64, group_counts: &GroupCounts) -> bool {
        let dominant = group_counts.total * DOMINANT_SHARE;
        let mut lowest = f64::MAX;
        let sums = self
            .callers
            .iter()
            .zip(&group_counts.callers)
            .chain(self.routes.iter().zip(&group_counts.routes));
        for (sum, count) in sums {
            if *count <= dominant {
                lowest = lowest.min(*sum);
            }
        }
        let is_concentrated = self.highest_sum() >= limit - NEAR_LIMIT_DISTANCE;
        let needed = if is_concentrated { threshold + CONCENTRATION_MARGIN } else { threshold };
        lowest >= needed
    }
}

/// Returns the group of a caller or route id; ids may be consecutive numbers.
fn group(id: u64) -> usize {
    let hashed = id.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 61;
    usize::try_from(hashed).unwrap_or(0) % GROUP_COUNT
}

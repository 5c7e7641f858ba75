//! The limit on the repeats that one service gets from all nodes together.
//!
//! The owner of a server sees every request that the server gets, so the limit is divided among the
//! owners. Each keeps its [`Part`] from its own counts, without a message: the limit holds in any
//! partition, and no first attempt waits for a permit. A part is a sliding window rather than a token
//! bucket, because a bucket that may save little loses what it earns while nothing fails.
//!
//! ```
//! use std::time::Duration;
//!
//! use arbutuslane_limit::repeats::{Limit, Part, Precedence};
//!
//! let limit = Limit { ratio: 0.2, slack: 0.0, window: Duration::from_secs(10) };
//! let mut part = Part::new(limit, Duration::ZERO);
//! let now = Duration::from_secs(20);
//! part.set_owners(1, now);
//! assert!(!part.admits(Precedence::Low, now));
//! for _ in 0..10 {
//!     part.count_first(now);
//! }
//! assert!(part.admits(Precedence::Low, now));
//! ```

use std::collections::VecDeque;
use std::time::Duration;

use arbutuslane_core::time::Time;

/// In any `window`, a share `ratio` of the first requests in it and `slack` more.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// The allowed repeats as a share of first requests.
    pub ratio: f64,
    /// The repeats in each window that are allowed beyond the share.
    pub slack: f64,
    /// The length of the window.
    pub window: Duration,
}

/// Which repeats get the last that a [`Part`] allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precedence {
    /// Repeats whose failure loses more: the calls of a request, which fails with them, and those of a
    /// higher rank than others at the same server.
    High,
    /// All others.
    Low,
}

/// The part of a [`Limit`] that one owner keeps.
#[derive(Debug, Clone)]
pub struct Part {
    limit: Limit,
    started_at: Time,
    owners: Owners,
    first: Counter,
    repeats: Counter,
    /// Those of the repeats that were not asked for, a moment ago.
    consequences: Counter,
    /// The repeats of high precedence that were refused a moment ago.
    refused_high: Counter,
}

/// The most owners that were known in the last [`OWNERS_PERIOD`] or two.
///
/// In a partition, each side takes the other one for gone. If the parts grew at once, both sides
/// together would exceed the limit.
#[derive(Debug, Clone, Copy)]
struct Owners {
    period_start: Time,
    /// The most owners in the period before the current one, and in the current one.
    most: [usize; 2],
}

/// The events of a sliding window, counted in intervals.
#[derive(Debug, Clone)]
struct Counter {
    interval: Duration,
    /// The start of each interval with events, in ascending order, and the number of events in it.
    counts: VecDeque<(Time, u32)>,
}

/// The share of the limit that owners use. The rest covers the consequences of repeats, which owners
/// cannot refuse, and first requests that arrive unevenly: an owner counts its own at the time of its last
/// repeat, and not all owners have that at the same time.
const USED_SHARE: f64 = 0.85;

/// The time for which owners that are not known any more keep their parts, at least.
const OWNERS_PERIOD: Duration = Duration::from_secs(30);

/// The number of intervals in a window.
const INTERVALS: u32 = 100;

/// Room is kept for as many consequences of repeats as came in this time, and for the repeats of high
/// precedence that were refused in it.
const RECENT: Duration = Duration::from_secs(1);

/// The share of a part that may be used within [`RECENT`]. When a service begins to fail, the calls of
/// the first repeats arrive at other services before those have used up their parts.
const RECENT_SHARE: f64 = 0.25;

impl Part {
    /// Returns the part of an owner that starts at `now`.
    ///
    /// It gets no slack in its first window, because the process that it replaces may have used it.
    pub fn new(limit: Limit, now: Time) -> Self {
        let counter = Counter { interval: limit.window / INTERVALS, counts: VecDeque::new() };
        Self {
            limit,
            started_at: now,
            owners: Owners { period_start: now, most: [1; 2] },
            first: counter.clone(),
            repeats: counter.clone(),
            consequences: counter.clone(),
            refused_high: counter,
        }
    }

    /// Sets the number of owners that are known, this one included.
    pub fn set_owners(&mut self, known: usize, now: Time) {
        let Owners { period_start, most } = &mut self.owners;
        if now >= *period_start + OWNERS_PERIOD {
            *period_start = now;
            *most = [most[1], 1];
        }
        most[1] = most[1].max(known);
    }

    /// Counts a request that arrived from a caller for the first time.
    pub fn count_first(&mut self, now: Time) {
        self.first.add(now, self.limit.window);
    }

    /// Counts an [admitted](Self::admits) repeat that is sent to the server.
    pub fn count_repeat(&mut self, now: Time) {
        self.repeats.add(now, self.limit.window);
    }

    /// Counts a request that an admitted repeat caused, such as a call of a request that runs again. It
    /// is sent in any case.
    pub fn count_consequence(&mut self, now: Time) {
        self.repeats.add(now, self.limit.window);
        self.consequences.add(now, RECENT);
    }

    /// Returns whether another repeat is within the part.
    pub fn admits(&mut self, precedence: Precedence, now: Time) -> bool {
        let since = now.saturating_sub(RECENT);
        let allowed = self.allowed(now);
        let used = f64::from(self.repeats.including(now.saturating_sub(self.limit.window)));
        let is_paced = f64::from(self.repeats.including(since)) < allowed * RECENT_SHARE;
        let mut kept = self.consequences.including(since);
        if precedence == Precedence::Low {
            kept += self.refused_high.including(since);
        }
        let is_admitted = is_paced && allowed - used >= 1.0 + f64::from(kept);
        if !is_admitted && precedence == Precedence::High {
            self.refused_high.add(now, RECENT);
        }
        is_admitted
    }

    /// Returns the number of repeats that this owner may send in the window that ends at `now`.
    pub fn allowed(&self, now: Time) -> f64 {
        let Limit { ratio, slack, window } = self.limit;
        let has_slack = now >= self.started_at + window;
        let owners = self.owners.most.into_iter().max().unwrap_or(1);
        let owners = f64::from(u32::try_from(owners).unwrap_or(u32::MAX));
        let slack = if has_slack { slack / owners } else { 0.0 };
        let first = self.first.within(now.saturating_sub(window));
        USED_SHARE * (ratio * f64::from(first) + slack)
    }
}

impl Counter {
    /// Counts an event at `now`, and drops events that ended longer than `kept` ago.
    fn add(&mut self, now: Time, kept: Duration) {
        let since = now.saturating_sub(kept);
        while self.counts.front().is_some_and(|(start, _)| *start + self.interval < since) {
            self.counts.pop_front();
        }
        match self.counts.back_mut() {
            Some((start, count)) if now < *start + self.interval => *count += 1,
            _ => self.counts.push_back((now, 1)),
        }
    }

    /// Returns the number of events in the intervals that began at `since` or later.
    fn within(&self, since: Time) -> u32 {
        let index = self.counts.partition_point(|(start, _)| *start < since);
        self.counts.range(index..).map(|(_, count)| count).sum()
    }

    /// Returns the number of events in the intervals that ended at `since` or later.
    fn including(&self, since: Time) -> u32 {
        let index = self.counts.partition_point(|(start, _)| *start + self.interval < since);
        self.counts.range(index..).map(|(_, count)| count).sum()
    }
}

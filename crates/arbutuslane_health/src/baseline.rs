//! Three common ejection rules that measurements compare the detector against.
//!
//! They are part of the crate so that every release can be measured against them; no daemon uses
//! them.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// A rule that ejects servers of one service, numbered from 0.
pub trait Rule {
    /// Records the end of a request.
    fn observe(&mut self, server: usize, success: bool, now: Time);

    /// Returns whether `server` is ejected.
    fn is_ejected(&mut self, server: usize, now: Time) -> bool;
}

/// Never ejects a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Never;

/// Ejects a server after consecutive failures.
#[derive(Debug, Clone)]
pub struct Consecutive {
    limit: u32,
    counts: Vec<u32>,
    ejections: Ejections,
}

/// Ejects the servers whose success rate over an interval is far below that of their peers.
#[derive(Debug, Clone)]
pub struct SuccessRate {
    interval: Duration,
    next: Time,
    /// The requests and the successful ones of each server in the current interval.
    counts: Vec<(u32, u32)>,
    ejections: Ejections,
}

#[derive(Debug, Clone)]
struct Ejections {
    until: Vec<Time>,
    ejection_counts: Vec<u32>,
    max_ejected: usize,
}

/// The duration of a server's first ejection; the nth lasts n times as long.
const BASE_EJECTION: Duration = Duration::from_secs(30);

/// The largest share of servers that are ejected at a time, in percent; one server always may be.
const MAX_EJECTED_PERCENT: usize = 10;

/// The least number of requests in an interval for a server's success rate to be evaluated.
const MIN_REQUESTS: u32 = 100;

/// The number of standard deviations below the mean success rate beyond which a server is ejected.
const EJECTION_DEVIATIONS: f64 = 1.9;

impl Rule for Never {
    fn observe(&mut self, _server: usize, _success: bool, _now: Time) {}

    fn is_ejected(&mut self, _server: usize, _now: Time) -> bool {
        false
    }
}

impl Consecutive {
    /// Returns the rule for `servers` servers and `limit` consecutive failures.
    pub fn new(servers: usize, limit: u32) -> Self {
        Self { limit, counts: vec![0; servers], ejections: Ejections::new(servers) }
    }
}

impl Rule for Consecutive {
    fn observe(&mut self, server: usize, success: bool, now: Time) {
        if success {
            self.counts[server] = 0;
            return;
        }
        self.counts[server] += 1;
        if self.counts[server] >= self.limit {
            self.counts[server] = 0;
            self.ejections.eject(server, now);
        }
    }

    fn is_ejected(&mut self, server: usize, now: Time) -> bool {
        self.ejections.until[server] > now
    }
}

impl SuccessRate {
    /// Returns the rule for `servers` servers, evaluated every `interval`.
    pub fn new(servers: usize, interval: Duration) -> Self {
        Self {
            interval,
            next: interval,
            counts: vec![(0, 0); servers],
            ejections: Ejections::new(servers),
        }
    }

    fn evaluate(&mut self, now: Time) {
        if now < self.next {
            return;
        }
        self.next = now + self.interval;
        let fresh = vec![(0, 0); self.counts.len()];
        let counts = std::mem::replace(&mut self.counts, fresh);
        let mut rates = Vec::new();
        for (server, (total, successes)) in counts.into_iter().enumerate() {
            if total >= MIN_REQUESTS {
                rates.push((server, f64::from(successes) / f64::from(total)));
            }
        }
        let Ok(count) = u32::try_from(rates.len()) else { return };
        if count < 2 {
            return;
        }
        let mean = rates.iter().map(|(_, rate)| rate).sum::<f64>() / f64::from(count);
        let squares = rates.iter().map(|(_, rate)| (rate - mean) * (rate - mean)).sum::<f64>();
        let limit = mean - EJECTION_DEVIATIONS * (squares / f64::from(count)).sqrt();
        for (server, rate) in rates {
            if rate < limit {
                self.ejections.eject(server, now);
            }
        }
    }
}

impl Rule for SuccessRate {
    fn observe(&mut self, server: usize, success: bool, now: Time) {
        self.evaluate(now);
        self.counts[server].0 += 1;
        self.counts[server].1 += u32::from(success);
    }

    fn is_ejected(&mut self, server: usize, now: Time) -> bool {
        self.evaluate(now);
        self.ejections.until[server] > now
    }
}

impl Ejections {
    fn new(servers: usize) -> Self {
        Self {
            until: vec![Time::ZERO; servers],
            ejection_counts: vec![0; servers],
            max_ejected: (servers * MAX_EJECTED_PERCENT / 100).max(1),
        }
    }

    fn eject(&mut self, server: usize, now: Time) {
        let ejected = self.until.iter().filter(|until| **until > now).count();
        if ejected >= self.max_ejected || self.until[server] > now {
            return;
        }
        self.ejection_counts[server] += 1;
        self.until[server] = now + BASE_EJECTION * self.ejection_counts[server];
    }
}

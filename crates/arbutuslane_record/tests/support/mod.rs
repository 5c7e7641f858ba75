//! A simulated clock and an unreliable network for the property tests.

#![allow(dead_code, reason = "each test program uses only some of these items")]

pub(crate) mod keys;
pub(crate) mod permits;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Time;
use quickcheck::{Gen, QuickCheck, Testable};
use rand::RngExt;

/// Returns the number of random schedules for each property.
///
/// It is the value of the environment variable `SCHEDULES`, or 400, which takes seconds.
pub(crate) fn schedule_count() -> u64 {
    std::env::var("SCHEDULES").ok().and_then(|count| count.parse().ok()).unwrap_or(400)
}

/// Checks a property on [`schedule_count`] random inputs that are determined by `seed`.
pub(crate) fn check<P: Testable>(seed: u64, property: P) {
    QuickCheck::new()
        .tests(schedule_count())
        .max_tests(schedule_count())
        .rng(Gen::from_size_and_seed(100, seed))
        .quickcheck(property);
}

/// Returns the number of the first schedule that violates a property, or `None` if none of the
/// first `limit` schedules does.
pub(crate) fn first_violation(seed: u64, limit: u64, is_safe: impl Fn(u64) -> bool) -> Option<u64> {
    let mut rng = rng::seeded(seed);
    (1..=limit).find(|_| !is_safe(rng.random()))
}

pub(crate) fn millis(count: u64) -> Time {
    Duration::from_millis(count)
}

/// A queue of events, ordered by their simulated time.
pub(crate) struct Queue<E> {
    now: Time,
    sequence: u64,
    heap: BinaryHeap<Reverse<(Time, u64)>>,
    events: std::collections::HashMap<u64, E>,
}

impl<E> Queue<E> {
    pub(crate) fn new() -> Self {
        let events = std::collections::HashMap::new();
        Self { now: Time::ZERO, sequence: 0, heap: BinaryHeap::new(), events }
    }

    pub(crate) fn now(&self) -> Time {
        self.now
    }

    pub(crate) fn push(&mut self, delay: Time, event: E) {
        self.sequence += 1;
        self.heap.push(Reverse((self.now + delay, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    pub(crate) fn pop(&mut self) -> Option<E> {
        let Reverse((time, sequence)) = self.heap.pop()?;
        self.now = time;
        self.events.remove(&sequence)
    }
}

/// A network between numbered nodes that loses, delays, duplicates and blocks messages.
pub(crate) struct Network {
    pub(crate) rng: Rng,
    pub(crate) loss_probability: f64,
    pub(crate) slow_probability: f64,
    pub(crate) duplicate_probability: f64,
    /// Whether every message takes up to 400 ms, so that all orders of arrival are equally likely.
    pub(crate) uniform_delay: bool,
    /// The directed pairs of sender and receiver between which no message arrives.
    pub(crate) blocked_links: Vec<(usize, usize)>,
}

impl Network {
    /// Returns a network whose fault probabilities are determined by `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = rng::seeded(seed);
        let loss_probability = rng.random_range(0.0..0.15);
        let slow_probability = rng.random_range(0.0..0.3);
        let duplicate_probability = rng.random_range(0.0..0.2);
        Self {
            rng,
            loss_probability,
            slow_probability,
            duplicate_probability,
            uniform_delay: false,
            blocked_links: Vec::new(),
        }
    }

    /// Returns the delay of each copy of a message that arrives.
    ///
    /// The list is empty when the message is lost, and has two entries when it is duplicated.
    pub(crate) fn arrival_delays(&mut self, from: usize, to: usize) -> Vec<Time> {
        if from == to {
            return vec![Time::ZERO];
        }
        if self.blocked_links.contains(&(from, to)) || self.rng.random_bool(self.loss_probability) {
            return Vec::new();
        }
        let mut arrival_delays = vec![self.delay()];
        if self.rng.random_bool(self.duplicate_probability) {
            arrival_delays.push(self.delay() + millis(self.rng.random_range(0..5_000)));
        }
        arrival_delays
    }

    /// Unblocks all links, then blocks some random directed ones with a probability of one half.
    pub(crate) fn randomize_blocked_links(&mut self, nodes: usize) {
        self.blocked_links.clear();
        if self.rng.random_bool(0.5) {
            return;
        }
        for _ in 0..self.rng.random_range(0..nodes * 2) {
            let pair = (self.rng.random_range(0..nodes), self.rng.random_range(0..nodes));
            self.blocked_links.push(pair);
        }
    }

    fn delay(&mut self) -> Time {
        if self.uniform_delay {
            return millis(self.rng.random_range(1..400));
        }
        if self.rng.random_bool(self.slow_probability) {
            return millis(self.rng.random_range(20..3_000));
        }
        millis(self.rng.random_range(1..20))
    }
}

//! A simulated clock and a faulty network for the property tests.

#![allow(dead_code, reason = "each test program uses a part of the module")]

pub(crate) mod fleet;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Time;
use quickcheck::{Gen, QuickCheck, Testable};
use rand::RngExt;

/// Returns the number of random schedules per property: `SCHEDULES`, or a default that takes seconds.
pub(crate) fn schedules() -> u64 {
    std::env::var("SCHEDULES").ok().and_then(|count| count.parse().ok()).unwrap_or(60)
}

/// Checks a property with [`schedules`] random inputs that are generated from `seed`.
pub(crate) fn check<P: Testable>(seed: u64, property: P) {
    QuickCheck::new()
        .tests(schedules())
        .max_tests(schedules())
        .rng(Gen::from_size_and_seed(100, seed))
        .quickcheck(property);
}

/// Returns the number of schedules until the first violation, or `None` when `limit` schedules have
/// none.
pub(crate) fn first_violation(seed: u64, limit: u64, holds: impl Fn(u64) -> bool) -> Option<u64> {
    let mut rng = rng::seeded(seed);
    (1..=limit).find(|_| !holds(rng.random()))
}

pub(crate) fn millis(count: u64) -> Time {
    Duration::from_millis(count)
}

/// A queue of events in the order of their time, with a simulated clock.
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

/// Loses, delays, duplicates and blocks messages between numbered nodes.
pub(crate) struct Network {
    pub(crate) rng: Rng,
    pub(crate) loss_rate: f64,
    pub(crate) slow_rate: f64,
    pub(crate) duplicate_rate: f64,
    /// Whether delays are uniform up to 400 ms, so that all message orders are equally likely.
    pub(crate) uniform_delay: bool,
    /// The directed links (sender, receiver) on which no message arrives.
    pub(crate) blocked_links: Vec<(usize, usize)>,
}

impl Network {
    /// Returns a network with random fault rates that are generated from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = rng::seeded(seed);
        let loss_rate = rng.random_range(0.0..0.15);
        let slow_rate = rng.random_range(0.0..0.3);
        let duplicate_rate = rng.random_range(0.0..0.2);
        Self {
            rng,
            loss_rate,
            slow_rate,
            duplicate_rate,
            uniform_delay: false,
            blocked_links: Vec::new(),
        }
    }

    /// Returns the delay of each copy of a message that arrives.
    pub(crate) fn arrival_delays(&mut self, from: usize, to: usize) -> Vec<Time> {
        if from == to {
            return vec![Time::ZERO];
        }
        if self.blocked_links.contains(&(from, to)) || self.rng.random_bool(self.loss_rate) {
            return Vec::new();
        }
        let mut delays = vec![self.delay()];
        if self.rng.random_bool(self.duplicate_rate) {
            delays.push(self.delay() + millis(self.rng.random_range(0..5_000)));
        }
        delays
    }

    /// Blocks a random set of directed links, which may be empty, and restores all others.
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
        if self.rng.random_bool(self.slow_rate) {
            return millis(self.rng.random_range(20..3_000));
        }
        millis(self.rng.random_range(1..20))
    }
}

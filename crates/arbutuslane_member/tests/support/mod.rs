//! A virtual clock and a faulty network for the property tests.

#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod fleet;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use arbutuslane_core::rng::{self, Rng};
use arbutuslane_core::time::Time;
use quickcheck::{Gen, QuickCheck, Testable};
use rand::RngExt;

/// The number of random schedules of one property: `SCHEDULES`, or a number that takes seconds.
pub(crate) fn schedules() -> u64 {
    std::env::var("SCHEDULES").ok().and_then(|count| count.parse().ok()).unwrap_or(60)
}

/// Checks a property on [`schedules`] inputs that follow from `seed`.
pub(crate) fn check<P: Testable>(seed: u64, property: P) {
    QuickCheck::new()
        .tests(schedules())
        .max_tests(schedules())
        .rng(Gen::from_size_and_seed(100, seed))
        .quickcheck(property);
}

/// Returns how many schedules it takes to find a violation, or nothing within `limit`.
pub(crate) fn first_violation(seed: u64, limit: u64, holds: impl Fn(u64) -> bool) -> Option<u64> {
    let mut rng = rng::seeded(seed);
    (1..=limit).find(|_| !holds(rng.random()))
}

pub(crate) fn millis(count: u64) -> Time {
    Duration::from_millis(count)
}

/// Events in the order of their time.
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
    pub(crate) loss: f64,
    pub(crate) slow: f64,
    pub(crate) duplicate: f64,
    /// Every message takes up to 400 ms, so that all orders are equally likely.
    pub(crate) uniform: bool,
    /// Directed pairs between which nothing arrives.
    pub(crate) cut: Vec<(usize, usize)>,
}

impl Network {
    /// Returns a network whose fault rates follow from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        let mut rng = rng::seeded(seed);
        let loss = rng.random_range(0.0..0.15);
        let slow = rng.random_range(0.0..0.3);
        let duplicate = rng.random_range(0.0..0.2);
        Self { rng, loss, slow, duplicate, uniform: false, cut: Vec::new() }
    }

    /// Returns the delays of the copies of a message that arrive.
    pub(crate) fn arrivals(&mut self, from: usize, to: usize) -> Vec<Time> {
        if from == to {
            return vec![Time::ZERO];
        }
        if self.cut.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            return Vec::new();
        }
        let mut arrivals = vec![self.delay()];
        if self.rng.random_bool(self.duplicate) {
            arrivals.push(self.delay() + millis(self.rng.random_range(0..5_000)));
        }
        arrivals
    }

    /// Cuts or restores some directed links at random.
    pub(crate) fn shake(&mut self, nodes: usize) {
        self.cut.clear();
        if self.rng.random_bool(0.5) {
            return;
        }
        for _ in 0..self.rng.random_range(0..nodes * 2) {
            let pair = (self.rng.random_range(0..nodes), self.rng.random_range(0..nodes));
            self.cut.push(pair);
        }
    }

    fn delay(&mut self) -> Time {
        if self.uniform {
            return millis(self.rng.random_range(1..400));
        }
        if self.rng.random_bool(self.slow) {
            return millis(self.rng.random_range(20..3_000));
        }
        millis(self.rng.random_range(1..20))
    }
}

//! The faults, slots, queue and run counts of a stand-in backend server.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use rand::RngExt;

use arbutuslane_core::rng::{self, Rng};

use crate::record::{Run, Writer};

use super::{Faults, Settings};

/// The state that the connections of a stand-in backend server share.
#[derive(Debug)]
pub(super) struct State {
    pub(super) settings: Settings,
    /// When the server started.
    pub(super) started: Instant,
    /// The highest catalogue revision that a node reported.
    pub(super) revision: AtomicU64,
    /// Whether the server requests its node to drain it.
    pub(super) draining: AtomicBool,
    /// Whether the server has left.
    pub(super) left: AtomicBool,
    record: Option<Writer>,
    inner: Mutex<MutableState>,
}

#[derive(Debug)]
struct MutableState {
    faults: Faults,
    /// Changes of the health result, each with the time from which the endpoint reports it.
    health: VecDeque<(Instant, bool)>,
    /// The number of runs by idempotency key.
    runs: BTreeMap<String, u64>,
    /// The number of all runs, with and without a key.
    total: u64,
    /// The number of requests that have a slot.
    slots_in_use: u32,
    /// The number of requests that wait for a slot.
    queue_positions_in_use: u32,
    rng: Rng,
}

/// A slot in use.
#[derive(Debug)]
pub(super) struct Slot<'a>(&'a State);

/// A position in the queue for a slot.
#[derive(Debug)]
pub(super) struct QueuePosition<'a>(&'a State);

impl State {
    /// Returns the state of a server that starts now. Fails when the record file cannot be opened.
    pub(super) fn new(settings: Settings) -> std::io::Result<Self> {
        let record = settings.record.as_deref().map(Writer::open).transpose()?;
        let inner = MutableState {
            faults: settings.faults.clone(),
            health: VecDeque::new(),
            runs: BTreeMap::new(),
            total: 0,
            slots_in_use: 0,
            queue_positions_in_use: 0,
            rng: rng::seeded(settings.seed),
        };
        Ok(Self {
            settings,
            started: Instant::now(),
            revision: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            left: AtomicBool::new(false),
            record,
            inner: Mutex::new(inner),
        })
    }

    /// Returns the faults that are active now.
    pub(super) fn faults(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Replaces the active faults; the health endpoint reports the change after its lag.
    pub(super) fn set_faults(&self, faults: Faults) {
        let mut inner = self.lock();
        if inner.faults.unhealthy != faults.unhealthy {
            let from = Instant::now() + self.settings.health_lag;
            inner.health.push_back((from, !faults.unhealthy));
        }
        inner.faults = faults;
    }

    /// Returns whether the health endpoint passes now.
    pub(super) fn is_healthy(&self) -> bool {
        let inner = self.lock();
        let now = Instant::now();
        let reported = inner.health.iter().rev().find(|(from, _)| *from <= now);
        reported.is_none_or(|(_, passes)| *passes)
    }

    /// Counts and records the run of `request`, which arrived at `at_ms` (Unix time in
    /// milliseconds), under the idempotency key `key`.
    pub(super) fn count_run(&self, at_ms: u64, request: Option<&str>, key: Option<&str>) {
        if let Some(record) = &self.record {
            let request = request.unwrap_or_default().to_string();
            record.write(&Run { at_ms, request, key: key.map(str::to_string) });
        }
        let mut inner = self.lock();
        inner.total += 1;
        if let Some(key) = key {
            *inner.runs.entry(key.to_string()).or_default() += 1;
        }
    }

    /// Returns the number of all runs, and of the runs by idempotency key.
    pub(super) fn runs(&self) -> (u64, BTreeMap<String, u64>) {
        let inner = self.lock();
        (inner.total, inner.runs.clone())
    }

    /// Joins the queue for a slot; returns `None` when all slots and the queue are full.
    pub(super) fn enqueue(&self) -> Option<QueuePosition<'_>> {
        let mut inner = self.lock();
        if inner.slots_in_use + inner.queue_positions_in_use
            >= self.settings.slots + self.settings.queue
        {
            return None;
        }
        inner.queue_positions_in_use += 1;
        Some(QueuePosition(self))
    }

    /// Draws the service time of one request.
    pub(super) fn draw_service_time(&self) -> Duration {
        let mut inner = self.lock();
        // The sum of twelve uniform numbers approximates a normal distribution closely enough.
        let normal: f64 = (0..12).map(|_| inner.rng.random::<f64>()).sum::<f64>() - 6.0;
        let mut factor = (self.settings.spread * normal).exp() * inner.faults.straggler;
        let age = self.started.elapsed();
        if age < self.settings.cold_start {
            // The part of the cold start that remains, from 1 down to 0.
            let cold_share = 1.0 - age.as_secs_f64() / self.settings.cold_start.as_secs_f64();
            factor *= 1.0 + (self.settings.cold_factor - 1.0) * cold_share;
        }
        // `mul_f64` panics when the product is negative or overflows.
        self.settings.service_time.mul_f64(factor.clamp(0.0, 10_000.0))
    }

    /// Returns whether one request fails: always in the failing phase of `flap_ms`, else at random
    /// with the probability `fail`.
    pub(super) fn draw_failure(&self) -> bool {
        let age = self.started.elapsed().as_millis();
        let mut inner = self.lock();
        let period = u128::from(inner.faults.flap_ms);
        if period > 0 && (age / period) % 2 == 1 {
            return true;
        }
        let fail = inner.faults.fail;
        fail > 0.0 && inner.rng.random::<f64>() < fail
    }

    /// Returns whether the server has left and sends no more announcements.
    pub(super) fn has_left(&self) -> bool {
        self.left.load(Ordering::Relaxed)
    }

    fn lock(&self) -> MutexGuard<'_, MutableState> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<'a> QueuePosition<'a> {
    /// Exchanges the position for a slot; returns the position when no slot is free.
    pub(super) fn take_slot(self) -> Result<Slot<'a>, Self> {
        let state = self.0;
        {
            let mut inner = state.lock();
            if inner.slots_in_use >= state.settings.slots {
                drop(inner);
                return Err(self);
            }
            inner.slots_in_use += 1;
        }
        // `self` is dropped on return, which gives up the position in the queue.
        Ok(Slot(state))
    }
}

impl Drop for QueuePosition<'_> {
    fn drop(&mut self) {
        self.0.lock().queue_positions_in_use -= 1;
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.lock().slots_in_use -= 1;
    }
}

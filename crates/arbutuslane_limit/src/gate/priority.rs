//! The order of priority: predicted waits, and which requests are refused.

use std::time::Duration;

use arbutuslane_core::experiment::Mechanism;
use arbutuslane_core::time::Time;

use super::decision::{QueueChange, Reason};
use super::order::{Waiting, rank_level};
use super::{Arrival, Gate, LOWER_RANK_QUEUE_DIVISOR, MAX_HIGHER_RANK_STARTS, MIN_SHARE_LEFT};

impl Gate {
    /// Returns why a request that arrives while no slot is free is refused, or `None` if it may wait.
    pub(super) fn priority_refusal(&self, arrival: &Arrival, now: Time) -> Option<Reason> {
        let is_late = arrival.due.saturating_sub(now) < self.expected_time(arrival, now);
        if is_late && Mechanism::PredictedWait.is_on() {
            return Some(if self.is_paced(now) { Reason::Limited } else { Reason::TooLate });
        }
        let is_full =
            self.queue.len() >= self.queue_limit && self.displaced_index(arrival).is_none();
        is_full.then_some(Reason::Full)
    }

    /// Returns the predicted time that an arriving request waits for a slot and for the stated rate.
    ///
    /// A request that has run for longer than the mean counts with its elapsed time. The mean
    /// counts finished requests only, so it does not show that hanging requests occupy all slots.
    pub(super) fn priority_wait(&self, arrival: &Arrival, now: Time) -> Duration {
        let (ahead, slot_wait) = self.slot_wait(arrival, now);
        match &self.pace {
            Some(pace) => pace.wait_behind(ahead, now).max(slot_wait),
            None => slot_wait,
        }
    }

    /// Returns how many queued requests start before an arriving one, and the predicted time until a
    /// slot is free for it.
    ///
    /// A queued request that will be late by the time of its turn lets the others pass.
    fn slot_wait(&self, arrival: &Arrival, now: Time) -> (u32, Duration) {
        let share_left = self.share_left(arrival, now);
        let mut work = self.running_work(now);
        let (mut ahead, mut wait) = (0, self.wait_behind(work, 0).div_f64(share_left));
        for waiting in self.queue.iter().filter(|waiting| waiting.precedes(arrival)) {
            let is_passed = waiting.arrival.rank == arrival.rank
                && !self.is_timely(&waiting.arrival, now + wait);
            if is_passed {
                continue;
            }
            ahead += 1;
            work += self.service_times.mean_or_overall(waiting.arrival.kind);
            wait = self.wait_behind(work, ahead).div_f64(share_left);
        }
        (ahead, wait.min(self.reserved_start_wait(arrival, work, ahead)))
    }

    /// Returns the predicted time until the start that is reserved for lower ranks is an arriving
    /// request's, if `ahead` requests and the running ones take `work` in all.
    fn reserved_start_wait(&self, arrival: &Arrival, work: Duration, ahead: u32) -> Duration {
        let is_ahead = |waiting: &&Waiting| waiting.arrival.rank >= arrival.rank;
        let lower = self.queue.iter().filter(is_ahead).count();
        let lower = u32::try_from(lower).unwrap_or(u32::MAX);
        // One start takes the mean time of the work divided by the slots.
        let start_interval = self.wait_behind(work, ahead) / (ahead + 1);
        let starts = lower.saturating_add(1).saturating_mul(MAX_HIGHER_RANK_STARTS + 1);
        start_interval.saturating_mul(starts)
    }

    /// Returns the expected service times of the running requests.
    fn running_work(&self, now: Time) -> Duration {
        let expected = self.running.iter().map(|running| {
            let elapsed = now.saturating_sub(running.since);
            self.service_times.mean_or_overall(running.kind).max(elapsed)
        });
        expected.sum()
    }

    /// Returns the time until a slot is free behind `ahead` queued requests, if those and the running ones
    /// take `work` in all.
    fn wait_behind(&self, work: Duration, ahead: u32) -> Duration {
        if self.running.len() < self.slots || self.slots == 0 {
            return Duration::ZERO;
        }
        // The arriving request starts once all requests ahead of it in the queue have started and
        // one more slot is free. Each slot finishes one request per mean service time.
        let requests = ahead + u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.slots).unwrap_or(u32::MAX);
        work / requests.max(1) * (ahead + 1) / slots
    }

    /// Returns the share of the slots that requests of higher ranks leave.
    ///
    /// The first request of the lowest rank in the queue gets the next start that is reserved for lower
    /// ranks, however much the higher ones use.
    #[expect(clippy::cast_precision_loss, reason = "a number of slots")]
    fn share_left(&self, arrival: &Arrival, now: Time) -> f64 {
        if self.queue.last().is_none_or(|last| last.arrival.rank < arrival.rank) {
            return 1.0;
        }
        let higher =
            self.rank_loads.above(rank_level(arrival.rank), now) / (self.slots as f64).max(1.0);
        (1.0 - higher).max(MIN_SHARE_LEFT)
    }

    /// Returns the index of the queued request that an arriving request displaces from a full
    /// queue.
    pub(super) fn displaced_index(&self, arrival: &Arrival) -> Option<usize> {
        let reserved = self.queue_limit / LOWER_RANK_QUEUE_DIVISOR;
        let lower_start =
            self.queue.partition_point(|waiting| waiting.arrival.rank <= arrival.rank);
        let rank_start = self.queue.partition_point(|waiting| waiting.arrival.rank < arrival.rank);
        if self.queue.len() - lower_start > reserved {
            return Some(self.queue.len() - 1);
        }
        if lower_start > rank_start && arrival.displaces(&self.queue[lower_start - 1].arrival) {
            return Some(lower_start - 1);
        }
        // The reserved positions are shared by all lower ranks.
        (rank_start > 0 && self.queue.len() - rank_start < reserved).then(|| rank_start - 1)
    }

    /// Refuses the queued requests that will be late and that others, which can be in time, pass. They
    /// would wait until their deadlines while such requests arrive.
    pub(super) fn refuse_passed(&mut self, now: Time, change: &mut QueueChange) {
        let timely = self.queue.iter().filter(|waiting| self.is_timely(&waiting.arrival, now));
        let Some(first_rank) = timely.map(|waiting| waiting.arrival.rank).min() else { return };
        let mut queue = std::mem::take(&mut self.queue);
        queue.retain(|waiting| {
            let stays = waiting.arrival.rank < first_rank || self.is_timely(&waiting.arrival, now);
            if !stays {
                change.refuse.push(waiting.ticket);
            }
            stays
        });
        self.queue = queue;
    }
}

//! Admission to one backend server: its slots and a short priority queue.

mod arrival;
mod decision;

use std::time::Duration;

use arbutuslane_core::time::Time;

use crate::pace::Pace;
use crate::rank_load::RankLoads;
use crate::service_time::{Kind, ServiceTimes};

pub use arrival::Arrival;
pub use decision::{Admission, Cancelled, QueueChange, Reason, Refusal};

/// Identifies an admitted request at its gate.
pub type Ticket = u64;

/// The slots and the queue of one backend server.
///
/// The queue is sorted by rank, then precedence, then due time. Ordering by due time keeps requests
/// with much remaining time from starving those with little.
///
/// While requests of lower ranks wait, one start in 32 goes to them, and an eighth of the queue is
/// reserved for them. Otherwise an urgent kind of request that alone exceeds the slots would starve
/// all others.
///
/// A request whose calls are refused at random fails as soon as one of them is refused. When calls
/// exceed the slots, a common precedence lets the calls of one request succeed or fail together.
///
/// While the server states how many requests it accepts in a second, requests start at that rate at
/// most, even when slots are free.
///
/// A request is refused on arrival when the wait predicted from the measured service times, plus
/// one service time, ends after its due time. The refusal uses no slot, whereas a late response
/// uses one in which another request would have finished in time.
#[derive(Debug, Clone)]
pub struct Gate {
    slots: usize,
    queue_limit: usize,
    open: bool,
    next_ticket: Ticket,
    running: Vec<Running>,
    queue: Vec<Waiting>,
    /// The number of consecutive starts while a request of a lower rank waited.
    higher_rank_starts: u32,
    service_times: ServiceTimes,
    rank_loads: RankLoads,
    /// The rate that the server states, or `None` while it states none.
    pace: Option<Pace>,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    ticket: Ticket,
    kind: Kind,
    rank: u8,
    since: Time,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: Ticket,
    arrival: Arrival,
}

impl Waiting {
    /// Returns whether this request starts before one that arrives later.
    fn precedes(&self, arrival: &Arrival) -> bool {
        self.arrival.sort_key() <= arrival.sort_key()
    }
}

/// The number of consecutive higher-rank starts after which a request of a lower rank starts.
/// Without a share of its own, a lower rank would never run while calls alone exceed the slots.
const MAX_HIGHER_RANK_STARTS: u32 = 31;

/// The share of the slots that a lower rank is taken to have at least. One start in 32 goes to it.
const MIN_SHARE_LEFT: f64 = 1.0 / (MAX_HIGHER_RANK_STARTS + 1) as f64;

/// The shortest time after which a refused request may be sent again. A caller that returns sooner
/// finds the same requests running.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// One queue position in this many is reserved for requests of lower ranks.
const LOWER_RANK_QUEUE_DIVISOR: usize = 8;

impl Gate {
    /// Returns an open gate with `slots` slots and room for `queue_limit` waiting requests.
    pub fn new(slots: usize, queue_limit: usize) -> Self {
        Self {
            slots,
            queue_limit,
            open: true,
            next_ticket: 0,
            running: Vec::with_capacity(slots),
            queue: Vec::with_capacity(queue_limit),
            higher_rank_starts: 0,
            service_times: ServiceTimes::default(),
            rank_loads: RankLoads::default(),
            pace: None,
        }
    }

    /// Admits, queues or refuses a request.
    pub fn arrive(&mut self, now: Time, arrival: Arrival) -> Admission {
        if let Some(refusal) = self.refusal(now, &arrival) {
            return Admission::Refused(refusal);
        }
        if self.can_start(now) {
            let ticket = self.issue_ticket();
            self.start(ticket, &arrival, now);
            return Admission::Run(ticket);
        }
        let mut displaced = None;
        if self.queue.len() >= self.queue_limit {
            displaced = self.displaced_index(&arrival).map(|index| self.queue.remove(index).ticket);
        }
        let ticket = self.issue_ticket();
        let index = self.queue.partition_point(|other| other.precedes(&arrival));
        self.queue.insert(index, Waiting { ticket, arrival });
        Admission::Queued { ticket, displaced }
    }

    /// Returns why a request that arrives now would be refused, or `None` if it would get a slot or
    /// wait for one.
    pub fn refusal(&self, now: Time, arrival: &Arrival) -> Option<Refusal> {
        let reason = if !self.open {
            Reason::Closed
        } else if arrival.deadline.is_expired(now) {
            Reason::Expired
        } else if self.can_start(now) {
            // A free slot is used whatever the measured service time is. Refusing here would stop
            // the measurement, so a server whose mean once exceeded the deadline would never be
            // used again.
            return None;
        } else if arrival.due.saturating_sub(now) < self.expected_time(arrival, now) {
            if self.is_paced(now) { Reason::Limited } else { Reason::TooLate }
        } else if self.queue.len() >= self.queue_limit && self.displaced_index(arrival).is_none() {
            Reason::Full
        } else {
            return None;
        };
        let retry_after = self.expected_time(arrival, now).max(MIN_RETRY_AFTER);
        Some(Refusal { reason, retry_after })
    }

    /// Returns the predicted time from the arrival of a request to its response.
    fn expected_time(&self, arrival: &Arrival, now: Time) -> Duration {
        self.predicted_wait(arrival, now) + self.upper_service_time(arrival.kind)
    }

    /// Frees the slot of a running request, whatever its outcome, and fills the free slots from the
    /// queue.
    pub fn finish(&mut self, ticket: Ticket, now: Time) -> QueueChange {
        let Some(index) = self.running.iter().position(|running| running.ticket == ticket) else {
            return QueueChange::default();
        };
        let finished = self.running.swap_remove(index);
        let sample = now.saturating_sub(finished.since);
        self.service_times.observe(finished.kind, sample);
        self.rank_loads.record(finished.rank, sample, now);
        self.fill_slots(now)
    }

    /// Cancels a request whose caller has disconnected, and returns the state it was in.
    pub fn cancel(&mut self, ticket: Ticket) -> Cancelled {
        if let Some(index) = self.queue.iter().position(|waiting| waiting.ticket == ticket) {
            self.queue.remove(index);
            return Cancelled::Queued;
        }
        if self.running.iter().any(|running| running.ticket == ticket) {
            return Cancelled::Running;
        }
        Cancelled::Unknown
    }

    /// Removes and returns the queued requests whose remaining time is shorter than their expected
    /// service time; they are refused as not run.
    ///
    /// The owner calls this on a timer (every 10 ms to 100 ms), so that a refusal does not wait for
    /// a slot to become free.
    pub fn expire(&mut self, now: Time) -> Vec<Ticket> {
        let service_times = &self.service_times;
        let mut expired = Vec::new();
        self.queue.retain(|waiting| {
            let Arrival { kind, deadline, .. } = waiting.arrival;
            let needed = service_times.mean(kind).unwrap_or_default();
            let has_time = deadline.remaining(now) >= needed && !deadline.is_expired(now);
            if !has_time {
                expired.push(waiting.ticket);
            }
            has_time
        });
        expired
    }

    /// Removes and returns all queued requests. They are refused as not run when the server is
    /// ejected or drains.
    pub fn refuse_queued(&mut self) -> Vec<Ticket> {
        self.queue.drain(..).map(|waiting| waiting.ticket).collect()
    }

    /// Stops or resumes the admission of new requests. Running and queued requests are not
    /// affected.
    pub fn set_open(&mut self, open: bool) {
        self.open = open;
    }

    /// Changes the number of requests that the server accepts in a second, or with `None` lifts the
    /// limit. Refuses the queued requests that cannot start at the new rate before their deadlines.
    pub fn set_limit(&mut self, per_second: Option<f64>, now: Time) -> QueueChange {
        match (&mut self.pace, per_second) {
            (Some(pace), Some(per_second)) => pace.set_rate(per_second, now),
            (pace, per_second) => {
                *pace = per_second.map(|per_second| Pace::new(per_second, now));
            }
        }
        let mut change = self.fill_slots(now);
        if let Some(pace) = &self.pace {
            let mut ahead = 0;
            self.queue.retain(|waiting| {
                let starts_in_time =
                    pace.wait_behind(ahead, now) < waiting.arrival.deadline.remaining(now);
                match starts_in_time {
                    true => ahead += 1,
                    false => change.refuse.push(waiting.ticket),
                }
                starts_in_time
            });
        }
        change
    }

    /// Returns whether the server states a limit on the rate of its requests.
    pub fn is_limited(&self) -> bool {
        self.pace.is_some()
    }

    /// Returns the time until a queued request may start although no running one finishes, or `None`
    /// if there is none.
    ///
    /// The owner then calls [`advance`](Gate::advance).
    pub fn next_start(&self, now: Time) -> Option<Duration> {
        let pace = self.pace.as_ref()?;
        let has_slot = self.running.len() < self.slots && !self.queue.is_empty();
        has_slot.then(|| pace.wait(now))
    }

    /// Starts the queued requests whose time has come.
    pub fn advance(&mut self, now: Time) -> QueueChange {
        self.fill_slots(now)
    }

    /// Returns whether a free slot stays free because of the stated rate.
    pub fn is_paced(&self, now: Time) -> bool {
        self.pace.as_ref().is_some_and(|pace| pace.wait(now) > Duration::ZERO)
    }

    fn can_start(&self, now: Time) -> bool {
        self.running.len() < self.slots && !self.is_paced(now)
    }

    fn start(&mut self, ticket: Ticket, arrival: &Arrival, now: Time) {
        let Arrival { kind, rank, .. } = *arrival;
        self.running.push(Running { ticket, kind, rank, since: now });
        if let Some(pace) = &mut self.pace {
            pace.record_start(now);
        }
    }

    /// Changes the number of slots and starts queued requests in the free ones.
    pub fn set_slots(&mut self, slots: usize, now: Time) -> QueueChange {
        self.slots = slots;
        self.fill_slots(now)
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Returns the number of running requests.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of queued requests.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the predicted time that an arriving request waits for a slot and for the stated rate.
    ///
    /// A request that has run for longer than the mean counts with its elapsed time. The mean
    /// counts finished requests only, so it does not show that hanging requests occupy all slots.
    ///
    /// Requests of higher ranks that arrive while this one waits start before it. Their share of the
    /// slots is therefore not available to those that are ahead now.
    pub fn predicted_wait(&self, arrival: &Arrival, now: Time) -> Duration {
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
        let higher = self.rank_loads.above(arrival.rank, now) / (self.slots as f64).max(1.0);
        (1.0 - higher).max(MIN_SHARE_LEFT)
    }

    /// Returns a time in which most requests of `kind` end, or zero while it is unknown.
    fn upper_service_time(&self, kind: Kind) -> Duration {
        self.service_times.upper(kind).unwrap_or_default()
    }

    /// Returns the mean service time of `kind`, or zero while it is unknown.
    pub fn expected_service_time(&self, kind: Kind) -> Duration {
        self.service_times.mean(kind).unwrap_or_default()
    }

    fn issue_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Returns the index of the queued request that an arriving request displaces from a full
    /// queue.
    fn displaced_index(&self, arrival: &Arrival) -> Option<usize> {
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

    /// Removes and returns the request that starts next: the first in the queue, or after
    /// `MAX_HIGHER_RANK_STARTS` consecutive higher-rank starts the one of the lower ranks with the
    /// earliest due time.
    fn pop_next(&mut self, now: Time) -> Waiting {
        let rank = self.queue[0].arrival.rank;
        let lower_start = self.queue.partition_point(|waiting| waiting.arrival.rank <= rank);
        let is_timely = |index: &usize| self.is_timely(&self.queue[*index].arrival, now);
        let lower = lower_start..self.queue.len();
        let first_due =
            lower.min_by_key(|index| (!is_timely(index), self.queue[*index].arrival.due));
        let first = (0..lower_start).find(is_timely).unwrap_or_default();
        let index = match first_due {
            Some(index) if self.higher_rank_starts >= MAX_HIGHER_RANK_STARTS => index,
            _ => first,
        };
        let passes_lower_rank = index < lower_start && first_due.is_some();
        self.higher_rank_starts = if passes_lower_rank { self.higher_rank_starts + 1 } else { 0 };
        self.queue.remove(index)
    }

    /// Returns whether a request that starts now is expected to end by its due time.
    fn is_timely(&self, arrival: &Arrival, now: Time) -> bool {
        arrival.due.saturating_sub(now) >= self.upper_service_time(arrival.kind)
    }

    fn fill_slots(&mut self, now: Time) -> QueueChange {
        let mut change = QueueChange { start: Vec::new(), refuse: self.expire(now) };
        while self.can_start(now) && !self.queue.is_empty() {
            let waiting = self.pop_next(now);
            self.start(waiting.ticket, &waiting.arrival, now);
            change.start.push(waiting.ticket);
        }
        self.refuse_passed(now, &mut change);
        change
    }

    /// Refuses the queued requests that will be late and that others, which can be in time, pass. They
    /// would wait until their deadlines while such requests arrive.
    fn refuse_passed(&mut self, now: Time, change: &mut QueueChange) {
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

//! Admission to one backend server: its slots and a short priority queue.

mod arrival;
mod decision;
mod limit;
mod order;
mod plan;
mod priority;
mod schedule;
mod shares;

use std::time::Duration;

use arbutuslane_core::experiment::Mechanism;
use arbutuslane_core::time::Time;

use crate::pace::Pace;
use crate::rank_load::RankLoads;
use crate::service_time::{Kind, ServiceTimes};

use order::{Level, Waiting, rank_level};
use plan::Plan;
use shares::Shares;

pub use arrival::Arrival;
pub use decision::{Admission, Cancelled, QueueChange, Reason, Refusal, Shed};
pub use order::Order;

/// Identifies an admitted request at its gate.
pub type Ticket = u64;

/// The slots and the queue of one backend server.
///
/// In the default [`Order`], the queue is sorted by rank, then precedence, then due time. Ordering by
/// due time keeps requests with much remaining time from starving those with little.
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
    /// What the workspaces have had, in the least-cost order.
    shares: Option<Shares>,
    /// The queued requests that gave way to arriving ones and have not been reported.
    shed: Vec<Shed>,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    ticket: Ticket,
    kind: Kind,
    rank: u8,
    level: Level,
    workspace: u64,
    /// The service time that was expected at the start.
    expected: Duration,
    since: Time,
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
            shares: None,
            shed: Vec::new(),
        }
    }

    /// Returns this gate with another order.
    #[must_use]
    pub fn with_order(mut self, order: Order) -> Self {
        self.shares = match order {
            Order::Priority => None,
            Order::LeastCost => Some(Shares::default()),
        };
        self
    }

    /// Admits, queues or refuses a request.
    ///
    /// In the least-cost order, [`take_shed`](Gate::take_shed) then returns the queued requests that give
    /// way to it.
    pub fn arrive(&mut self, now: Time, arrival: Arrival) -> Admission {
        if let Some(refusal) = self.refusal(now, &arrival) {
            return Admission::Refused(refusal);
        }
        if self.can_start(now) {
            let ticket = self.issue_ticket();
            self.start(&Waiting::new(ticket, arrival), now);
            return Admission::Run(ticket);
        }
        if let Some(shares) = &self.shares {
            let plan = self.plan_with(shares, &arrival, now);
            self.adopt(plan);
            return Admission::Queued { ticket: self.issue_ticket(), displaced: None };
        }
        let mut displaced = None;
        if self.queue.len() >= self.queue_limit {
            displaced = self.displaced_index(&arrival).map(|index| self.queue.remove(index).ticket);
        }
        let ticket = self.issue_ticket();
        let index = self.queue.partition_point(|other| other.precedes(&arrival));
        self.queue.insert(index, Waiting::new(ticket, arrival));
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
        } else {
            match &self.shares {
                Some(shares) => {
                    let plan = self.plan_with(shares, arrival, now);
                    match plan.refusal(self.next_ticket + 1)? {
                        Reason::TooLate if self.is_paced(now) => Reason::Limited,
                        reason => reason,
                    }
                }
                None => self.priority_refusal(arrival, now)?,
            }
        };
        let retry_after = self.expected_time(arrival, now).max(MIN_RETRY_AFTER);
        Some(Refusal { reason, retry_after })
    }

    /// Returns the predicted time that an arriving request waits for a slot and for the stated rate.
    ///
    /// Requests that precede this one and arrive while it waits start before it. Their share of the
    /// slots is therefore not available to those that are ahead now.
    pub fn predicted_wait(&self, arrival: &Arrival, now: Time) -> Duration {
        match &self.shares {
            Some(shares) => self.plan_with(shares, arrival, now).wait(self.next_ticket + 1),
            None => self.priority_wait(arrival, now),
        }
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
        self.rank_loads.record(finished.level, sample, now);
        if let Some(shares) = &mut self.shares {
            let key = (finished.rank, finished.workspace);
            shares.correct(key, finished.expected, sample, now);
        }
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

    fn can_start(&self, now: Time) -> bool {
        self.running.len() < self.slots && !self.is_paced(now)
    }

    fn start(&mut self, waiting: &Waiting, now: Time) {
        let Arrival { kind, rank, workspace, weight, .. } = waiting.arrival;
        let expected = self.service_times.mean_or_overall(kind);
        let mut level = rank_level(rank);
        if let Some(shares) = &mut self.shares {
            level = waiting.level();
            shares.charge((rank, workspace), weight, expected, now);
        }
        let ticket = waiting.ticket;
        self.running.push(Running { ticket, kind, rank, level, workspace, expected, since: now });
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
            Some(index)
                if self.higher_rank_starts >= MAX_HIGHER_RANK_STARTS
                    && Mechanism::LowerRankStarts.is_on() =>
            {
                index
            }
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
        let mut change = QueueChange { refuse: self.expire(now), ..QueueChange::default() };
        if let Some(shares) = &self.shares {
            let plan = self.plan(shares, self.queue.clone(), now);
            self.adopt(plan);
        }
        change.shed = self.take_shed();
        while self.can_start(now) && !self.queue.is_empty() {
            let waiting = self.pop_next(now);
            self.start(&waiting, now);
            change.start.push(waiting.ticket);
        }
        if self.shares.is_none() {
            self.refuse_passed(now, &mut change);
        }
        change
    }

    fn adopt(&mut self, plan: Plan) {
        self.queue = plan.queue;
        self.shed.extend(plan.shed);
    }

    /// Removes and returns the queued requests that gave way to those that arrived since the last
    /// call or [`QueueChange`]. They are refused as not run.
    pub fn take_shed(&mut self) -> Vec<Shed> {
        std::mem::take(&mut self.shed)
    }
}

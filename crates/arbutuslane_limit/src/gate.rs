//! Admission to one backend server: its slots and a short priority queue.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;

use crate::deadline::Deadline;
use crate::service_time::{Kind, ServiceTimes};

/// Identifies an admitted request at its gate.
pub type Ticket = u64;

/// A request that arrives at a gate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Its kind, by which service times are measured.
    pub kind: Kind,
    /// Its rank; 0 goes first.
    pub rank: u8,
    /// Among requests of one rank, the lowest goes first. Requests that are of use only together, such
    /// as the calls of one request, have the same.
    pub precedence: u64,
    /// Until when its response is worth most; earlier goes first among equals.
    pub due: Time,
    /// When its response is of no use any more.
    pub deadline: Deadline,
}

impl Arrival {
    /// Returns a request ranked by its class: bookings before lookups before downloads, each in the
    /// order of arrival, and worth the same until its deadline.
    pub fn of_class(class: Class, now: Time, deadline: Deadline) -> Self {
        let rank = match class {
            Class::NonIdempotent => 0,
            Class::Idempotent => 1,
            Class::Download => 2,
        };
        Self {
            kind: Kind::from(rank),
            rank,
            precedence: 0,
            due: now + deadline.remaining(now),
            deadline,
        }
    }

    fn order(&self) -> (u8, u64, Time) {
        (self.rank, self.precedence, self.due)
    }

    /// Returns whether it takes the place of `other` in a full queue.
    fn displaces(&self, other: &Self) -> bool {
        (self.rank, self.precedence) < (other.rank, other.precedence)
    }
}

/// The gate's answer to an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request has a slot and is dispatched now.
    Run(Ticket),
    /// The request waits. It starts or is refused by a later [`Next`].
    Queued {
        /// The ticket of the arriving request.
        ticket: Ticket,
        /// A request of lower priority that lost its place and is refused as not run.
        displaced: Option<Ticket>,
    },
    /// The request is refused as not run.
    Refused(Refusal),
}

/// Why a request was refused and when it may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// The reason.
    pub reason: Reason,
    /// The value for `Retry-After`.
    pub retry_after: Duration,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Its deadline has passed.
    Expired,
    /// It would probably not be answered while its response is worth most.
    TooLate,
    /// The queue is full of requests of at least its priority.
    Full,
    /// The server takes no new work.
    Closed,
}

/// What follows from a freed slot.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Next {
    /// Queued requests that now have a slot.
    pub start: Vec<Ticket>,
    /// Queued requests that are refused as not run, because their time is up.
    pub refuse: Vec<Ticket>,
}

/// What became of a cancelled request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Cancelled {
    /// It waited and is gone; it did not run.
    Queued,
    /// It runs: the owner closes the connection and calls [`Gate::finish`] once it is closed.
    Running,
    /// It is not known: it finished or was refused before.
    Unknown,
}

/// The slots and the queue of one backend server.
///
/// Requests wait in the order of their rank, and among those of one rank and precedence the one that
/// is due first goes first, so that requests with little time are not starved by those with much.
/// One start in 32 goes to a lower rank, which keeps an eighth of the queue, so that no kind of
/// request is starved by a more urgent one that exceeds the slots alone.
/// When calls exceed the slots, their precedence lets those of one request pass or fail together:
/// a request whose calls are refused at random fails when one of them does. A request is
/// refused on arrival when the wait predicted from the measured service times, plus one service
/// time, ends after it is due. Refusing then costs nothing, while a late answer costs a slot that
/// another request would have used in time.
#[derive(Debug, Clone)]
pub struct Gate {
    slots: usize,
    queue_limit: usize,
    open: bool,
    next_ticket: Ticket,
    running: Vec<Running>,
    queue: Vec<Waiting>,
    /// The requests that started in a row while one of lower rank waited.
    passed: u32,
    service: ServiceTimes,
}

#[derive(Debug, Clone, Copy)]
struct Running {
    ticket: Ticket,
    kind: Kind,
    since: Time,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: Ticket,
    arrival: Arrival,
}

impl Waiting {
    /// Returns whether it goes before a request that arrives later.
    fn precedes(&self, arrival: &Arrival) -> bool {
        self.arrival.order() <= arrival.order()
    }
}

/// A request of a lower rank starts after this many others have passed it: without a share of its own
/// it would never run while calls alone exceed the slots.
const PASSES: u32 = 31;

/// The part of the queue that requests of lower ranks keep, one place in this many.
const KEPT_PLACES: usize = 8;

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
            passed: 0,
            service: ServiceTimes::default(),
        }
    }

    /// Admits, queues or refuses a request.
    pub fn arrive(&mut self, now: Time, arrival: Arrival) -> Admission {
        let kind = arrival.kind;
        if !self.open {
            return self.refuse(Reason::Closed, &arrival, now);
        }
        if arrival.deadline.is_expired(now) {
            return self.refuse(Reason::Expired, &arrival, now);
        }
        // A free slot is used whatever the measured service time says: refusing here would end the
        // measurement, and a server whose mean once exceeded the deadline would never be used again.
        if self.running.len() < self.slots {
            let ticket = self.take_ticket();
            self.running.push(Running { ticket, kind, since: now });
            return Admission::Run(ticket);
        }
        let needed = self.predicted_wait(&arrival, now) + self.expected_service(kind);
        if arrival.due.saturating_sub(now) < needed {
            return self.refuse(Reason::TooLate, &arrival, now);
        }
        let mut displaced = None;
        if self.queue.len() >= self.queue_limit {
            let Some(place) = self.displaced(&arrival) else {
                return self.refuse(Reason::Full, &arrival, now);
            };
            displaced = Some(self.queue.remove(place).ticket);
        }
        let ticket = self.take_ticket();
        let place = self.queue.partition_point(|other| other.precedes(&arrival));
        self.queue.insert(place, Waiting { ticket, arrival });
        Admission::Queued { ticket, displaced }
    }

    /// Frees the slot of a running request, whatever its outcome, and fills it from the queue.
    pub fn finish(&mut self, ticket: Ticket, now: Time) -> Next {
        let Some(place) = self.running.iter().position(|running| running.ticket == ticket) else {
            return Next::default();
        };
        let done = self.running.swap_remove(place);
        let sample = now.saturating_sub(done.since);
        self.service.observe(done.kind, sample);
        self.fill(now)
    }

    /// Cancels a request whose caller is gone.
    pub fn cancel(&mut self, ticket: Ticket) -> Cancelled {
        if let Some(place) = self.queue.iter().position(|waiting| waiting.ticket == ticket) {
            self.queue.remove(place);
            return Cancelled::Queued;
        }
        if self.running.iter().any(|running| running.ticket == ticket) {
            return Cancelled::Running;
        }
        Cancelled::Unknown
    }

    /// Refuses the queued requests whose remaining time is too short to be answered.
    ///
    /// The owner calls this on a timer (every 10 ms to 100 ms), so that a refusal does not wait for
    /// a slot to become free.
    pub fn expire(&mut self, now: Time) -> Vec<Ticket> {
        let service = &self.service;
        let mut expired = Vec::new();
        self.queue.retain(|waiting| {
            let Arrival { kind, deadline, .. } = waiting.arrival;
            let needed = service.of(kind).unwrap_or_default();
            let keep = deadline.remaining(now) >= needed && !deadline.is_expired(now);
            if !keep {
                expired.push(waiting.ticket);
            }
            keep
        });
        expired
    }

    /// Takes all queued requests out, to be refused as not run when the server is ejected or drains.
    pub fn refuse_queued(&mut self) -> Vec<Ticket> {
        self.queue.drain(..).map(|waiting| waiting.ticket).collect()
    }

    /// Stops or resumes the admission of new requests; requests in flight and queued go on.
    pub fn set_open(&mut self, open: bool) {
        self.open = open;
    }

    /// Changes the number of slots and starts queued requests that now fit.
    pub fn set_slots(&mut self, slots: usize, now: Time) -> Next {
        self.slots = slots;
        self.fill(now)
    }

    /// Returns the number of slots.
    pub fn slots(&self) -> usize {
        self.slots
    }

    /// Returns the number of requests that run.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of requests that wait.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    /// Returns the time that an arriving request would probably wait for a slot.
    ///
    /// A request that runs for longer than the mean counts with the time that it has taken: a server
    /// whose slots are all held by requests that hang has no mean that tells so.
    pub fn predicted_wait(&self, arrival: &Arrival, now: Time) -> Duration {
        if self.running.len() < self.slots || self.slots == 0 {
            return Duration::ZERO;
        }
        let mut work = Duration::ZERO;
        for running in &self.running {
            let elapsed = now.saturating_sub(running.since);
            work += self.service.of_or_all(running.kind).max(elapsed);
        }
        let mut ahead = 0;
        for waiting in &self.queue {
            if waiting.precedes(arrival) {
                work += self.service.of_or_all(waiting.arrival.kind);
                ahead += 1;
            }
        }
        // The arriving request waits until one more request than those ahead of it has finished;
        // one finishes per mean service time and slot.
        let requests = ahead + u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.slots).unwrap_or(u32::MAX);
        work / requests.max(1) * (ahead + 1) / slots
    }

    /// Returns the mean service time of `kind`, and zero while it is unknown.
    pub fn expected_service(&self, kind: Kind) -> Duration {
        self.service.of(kind).unwrap_or_default()
    }

    fn take_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }

    /// Returns the place in the full queue that an arriving request takes, if there is one.
    fn displaced(&self, arrival: &Arrival) -> Option<usize> {
        let kept = self.queue_limit / KEPT_PLACES;
        let lower = self.queue.partition_point(|waiting| waiting.arrival.rank <= arrival.rank);
        let higher = self.queue.partition_point(|waiting| waiting.arrival.rank < arrival.rank);
        if self.queue.len() - lower > kept {
            return Some(self.queue.len() - 1);
        }
        if lower > higher && arrival.displaces(&self.queue[lower - 1].arrival) {
            return Some(lower - 1);
        }
        // The kept places belong to the lower ranks together.
        (higher > 0 && self.queue.len() - higher < kept).then(|| higher - 1)
    }

    /// Takes the request out of the queue that starts next: the first one, or the one of a lower rank
    /// that is due first when enough others have passed it.
    fn take_next(&mut self) -> Waiting {
        let rank = self.queue[0].arrival.rank;
        let lower = self.queue.partition_point(|waiting| waiting.arrival.rank <= rank);
        let first_due =
            (lower..self.queue.len()).min_by_key(|place| self.queue[*place].arrival.due);
        let place = match first_due {
            Some(place) if self.passed >= PASSES => place,
            _ => 0,
        };
        let passes = place == 0 && first_due.is_some();
        self.passed = if passes { self.passed + 1 } else { 0 };
        self.queue.remove(place)
    }

    fn refuse(&self, reason: Reason, arrival: &Arrival, now: Time) -> Admission {
        let wait = self.predicted_wait(arrival, now) + self.expected_service(arrival.kind);
        Admission::Refused(Refusal { reason, retry_after: wait.max(Duration::from_millis(50)) })
    }

    fn fill(&mut self, now: Time) -> Next {
        let mut next = Next { start: Vec::new(), refuse: self.expire(now) };
        while self.running.len() < self.slots && !self.queue.is_empty() {
            let waiting = self.take_next();
            let kind = waiting.arrival.kind;
            self.running.push(Running { ticket: waiting.ticket, kind, since: now });
            next.start.push(waiting.ticket);
        }
        next
    }
}

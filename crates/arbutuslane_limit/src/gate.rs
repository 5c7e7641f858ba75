//! Admission to one backend server: its slots and a short priority queue.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::time::Time;

use crate::deadline::Deadline;

/// Identifies an admitted request at its gate.
pub type Ticket = u64;

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
    /// It would probably not be answered within its deadline.
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
/// A request is refused on arrival when the wait predicted from the measured service times, plus
/// one service time, exceeds what remains of its deadline. Refusing then costs nothing, while an
/// answer after the deadline costs a slot.
#[derive(Debug, Clone)]
pub struct Gate {
    slots: usize,
    queue_limit: usize,
    open: bool,
    next_ticket: Ticket,
    running: Vec<Running>,
    queue: Vec<Waiting>,
    service: [Option<Duration>; CLASSES],
}

#[derive(Debug, Clone, Copy)]
struct Running {
    ticket: Ticket,
    class: Class,
    since: Time,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: Ticket,
    class: Class,
    deadline: Deadline,
}

const CLASSES: usize = 3;

/// The weight of the newest service time in the mean is one in this many.
const SMOOTHING: u32 = 16;

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
            service: [None; CLASSES],
        }
    }

    /// Admits, queues or refuses a request.
    pub fn arrive(&mut self, now: Time, class: Class, deadline: Deadline) -> Admission {
        if !self.open {
            return self.refuse(Reason::Closed, class);
        }
        if deadline.is_expired(now) {
            return self.refuse(Reason::Expired, class);
        }
        // A free slot is used whatever the measured service time says: refusing here would end the
        // measurement, and a server whose mean once exceeded the deadline would never be used again.
        if self.running.len() < self.slots {
            let ticket = self.take_ticket();
            self.running.push(Running { ticket, class, since: now });
            return Admission::Run(ticket);
        }
        if deadline.remaining(now) < self.predicted_wait(class) + self.expected_service(class) {
            return self.refuse(Reason::TooLate, class);
        }
        let mut displaced = None;
        if self.queue.len() >= self.queue_limit {
            match self.queue.last() {
                Some(last) if priority(last.class) < priority(class) => {
                    displaced = self.queue.pop().map(|waiting| waiting.ticket);
                }
                _ => return self.refuse(Reason::Full, class),
            }
        }
        let ticket = self.take_ticket();
        let place = self.queue.partition_point(|other| priority(other.class) >= priority(class));
        self.queue.insert(place, Waiting { ticket, class, deadline });
        Admission::Queued { ticket, displaced }
    }

    /// Frees the slot of a running request, whatever its outcome, and fills it from the queue.
    pub fn finish(&mut self, ticket: Ticket, now: Time) -> Next {
        let Some(place) = self.running.iter().position(|running| running.ticket == ticket) else {
            return Next::default();
        };
        let done = self.running.swap_remove(place);
        let sample = now.saturating_sub(done.since);
        let mean = &mut self.service[index(done.class)];
        *mean = Some(match *mean {
            Some(mean) => (mean * (SMOOTHING - 1) + sample) / SMOOTHING,
            None => sample,
        });
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
        let service = self.service;
        let mut expired = Vec::new();
        self.queue.retain(|waiting| {
            let needed = service[index(waiting.class)].unwrap_or_default();
            let keep =
                waiting.deadline.remaining(now) >= needed && !waiting.deadline.is_expired(now);
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

    /// Returns the time that an arriving request of `class` would probably wait for a slot.
    pub fn predicted_wait(&self, class: Class) -> Duration {
        if self.running.len() < self.slots || self.slots == 0 {
            return Duration::ZERO;
        }
        let mut work = Duration::ZERO;
        for running in &self.running {
            work += self.expected_service(running.class);
        }
        let mut ahead = 0;
        for waiting in &self.queue {
            if priority(waiting.class) >= priority(class) {
                work += self.expected_service(waiting.class);
                ahead += 1;
            }
        }
        // The arriving request waits until one more request than those ahead of it has finished;
        // one finishes per mean service time and slot.
        let requests = ahead + u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let slots = u32::try_from(self.slots).unwrap_or(u32::MAX);
        work / requests.max(1) * (ahead + 1) / slots
    }

    /// Returns the mean service time of `class`, or that of any class while it is unknown.
    pub fn expected_service(&self, class: Class) -> Duration {
        self.service[index(class)]
            .or_else(|| self.service.iter().flatten().max().copied())
            .unwrap_or_default()
    }

    fn take_ticket(&mut self) -> Ticket {
        self.next_ticket += 1;
        self.next_ticket
    }

    fn refuse(&self, reason: Reason, class: Class) -> Admission {
        let wait = self.predicted_wait(class) + self.expected_service(class);
        Admission::Refused(Refusal { reason, retry_after: wait.max(Duration::from_millis(50)) })
    }

    fn fill(&mut self, now: Time) -> Next {
        let mut next = Next { start: Vec::new(), refuse: self.expire(now) };
        while self.running.len() < self.slots && !self.queue.is_empty() {
            let waiting = self.queue.remove(0);
            self.running.push(Running { ticket: waiting.ticket, class: waiting.class, since: now });
            next.start.push(waiting.ticket);
        }
        next
    }
}

/// Returns the priority of a class in the queue; higher goes first.
fn priority(class: Class) -> u8 {
    match class {
        Class::NonIdempotent => 2,
        Class::Idempotent => 1,
        Class::Download => 0,
    }
}

fn index(class: Class) -> usize {
    usize::from(priority(class))
}

//! Bounds the bytes of request bodies that one backend server is given at a time.

use arbutuslane_core::time::Time;

/// Identifies a request that waits at its [`ServerBodies`].
pub type Ticket = u64;

/// How often later requests may pass one that waits because its body is large. Without passing, one
/// large body would hold up all small ones; without a bound, they would starve it.
const MAX_PASSED: u32 = 31;

/// The bodies that one backend server has been given with the requests that it runs.
///
/// A server holds the bodies of its requests in memory and crashes when they exceed it. A request
/// whose body does not fit waits, in the order of rank and due time.
///
/// ```
/// use std::time::Duration;
///
/// use arbutuslane_limit::server_bodies::{BodyDecision, ServerBodies};
///
/// let mut bodies = ServerBodies::new(100);
/// let due = Duration::from_secs(1);
/// assert_eq!(bodies.arrive(80, 0, due), BodyDecision::Given);
/// let BodyDecision::Queued(ticket) = bodies.arrive(60, 0, due) else { panic!() };
/// assert_eq!(bodies.release(80), vec![ticket]);
/// assert_eq!(bodies.arrive(101, 0, due), BodyDecision::TooLarge);
/// ```
#[derive(Debug, Clone)]
pub struct ServerBodies {
    limit: u64,
    used: u64,
    next_ticket: Ticket,
    /// Sorted by rank, due time and ticket.
    waiting: Vec<Waiting>,
}

/// What becomes of a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyDecision {
    /// The server may be given the body.
    Given,
    /// The request waits until [`ServerBodies::release`] or [`ServerBodies::cancel`] returns the
    /// ticket.
    Queued(Ticket),
    /// The server can never be given the body.
    TooLarge,
}

#[derive(Debug, Clone, Copy)]
struct Waiting {
    ticket: Ticket,
    bytes: u64,
    rank: u8,
    due: Time,
    /// The number of later requests that were given to the server before this one.
    passed: u32,
}

impl Waiting {
    fn sort_key(&self) -> (u8, Time, Ticket) {
        (self.rank, self.due, self.ticket)
    }
}

impl ServerBodies {
    /// Returns the bodies of an idle server that may have `limit` bytes at a time.
    pub fn new(limit: u64) -> Self {
        Self { limit, used: 0, next_ticket: 0, waiting: Vec::new() }
    }

    /// Returns the number of bytes that the server may have at a time.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the number of bytes that the server has.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns the number of requests that wait.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Decides on a request with a body of `bytes`.
    pub fn arrive(&mut self, bytes: u64, rank: u8, due: Time) -> BodyDecision {
        if bytes > self.limit {
            return BodyDecision::TooLarge;
        }
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        let arriving = Waiting { ticket, bytes, rank, due, passed: 0 };
        let position =
            self.waiting.partition_point(|waiting| waiting.sort_key() < arriving.sort_key());
        let earlier = &mut self.waiting[..position];
        let may_pass = earlier.iter().all(|waiting| waiting.passed < MAX_PASSED);
        if may_pass && bytes <= self.limit - self.used {
            earlier.iter_mut().for_each(|waiting| waiting.passed += 1);
            self.used += bytes;
            return BodyDecision::Given;
        }
        self.waiting.insert(position, arriving);
        BodyDecision::Queued(ticket)
    }

    /// Records that the server no longer has a body of `bytes`; returns the requests that it may be
    /// given now.
    pub fn release(&mut self, bytes: u64) -> Vec<Ticket> {
        self.used -= bytes;
        self.give_waiting()
    }

    /// Removes a request that stops waiting; returns the requests that the server may be given now,
    /// or `None` if the request does not wait.
    pub fn cancel(&mut self, ticket: Ticket) -> Option<Vec<Ticket>> {
        let index = self.waiting.iter().position(|waiting| waiting.ticket == ticket)?;
        self.waiting.remove(index);
        Some(self.give_waiting())
    }

    fn give_waiting(&mut self) -> Vec<Ticket> {
        let mut given = Vec::new();
        let mut index = 0;
        while let Some(waiting) = self.waiting.get(index) {
            if waiting.bytes <= self.limit - self.used {
                self.used += waiting.bytes;
                given.push(waiting.ticket);
                self.waiting.remove(index);
                self.waiting[..index].iter_mut().for_each(|earlier| earlier.passed += 1);
            } else {
                index += 1;
            }
            if self.waiting[..index].iter().any(|earlier| earlier.passed >= MAX_PASSED) {
                break;
            }
        }
        given
    }
}

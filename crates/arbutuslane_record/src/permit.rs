//! Permits for ejection: numbered leases that a majority grants.

use std::time::Duration;

use arbutuslane_core::hash;
use arbutuslane_core::id::{Attempt, ServerId, ServiceName, Shard};
use arbutuslane_core::time::Time;

use crate::group::Group;

/// The time for which a replica's grant lasts.
pub const LEASE: Duration = Duration::from_secs(3);

/// The time for which a holder counts on a grant from when it was asked for: 97% of the lease,
/// which covers clocks that differ in speed by 1% each.
pub const HELD: Duration = Duration::from_millis(2_910);

/// The time between two renewals.
pub const RENEWAL: Duration = Duration::from_secs(1);

/// The time for which a refused claim's severity is reported to holders.
pub const WAITING: Duration = Duration::from_secs(2);

/// The time after which a claim or renewal without a majority is sent again.
pub const RETRY: Duration = Duration::from_millis(500);

/// The step of the random time after which a claim that split the replicas is made again.
const BACKOFF: Duration = Duration::from_millis(100);

/// The number of free permits among which different attempts are spread.
const FREE_CHOICES: u32 = 8;

/// What is asked of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ask {
    /// A new grant.
    Claim,
    /// A longer lease.
    Renew,
    /// The end of the lease.
    Release,
}

/// A request for a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The shard of the service's permits.
    pub shard: Shard,
    /// The epoch of the group that the sender knows.
    pub epoch: u64,
    /// The service.
    pub service: ServiceName,
    /// The permit's number.
    pub number: u32,
    /// The server that is to be ejected.
    pub server: ServerId,
    /// The holder's attempt.
    pub attempt: Attempt,
    /// How unhealthy the server is.
    pub severity: u32,
    /// What is asked.
    pub ask: Ask,
    /// Tells a response to an earlier request.
    pub round: u32,
}

/// A replica's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The attempt that asked.
    pub attempt: Attempt,
    /// The round of the request.
    pub round: u32,
    /// Whether the replica grants.
    pub granted: bool,
    /// The highest severity among refused claims of the service in the last 2 s.
    pub waiting: u32,
    /// A number that the replica would grant instead of the one that it refused.
    pub free: Option<u32>,
}

#[derive(Debug, Clone)]
struct Grant {
    service: ServiceName,
    number: u32,
    attempt: Attempt,
    round: u32,
    until: Time,
}

#[derive(Debug, Clone)]
struct Waiting {
    service: ServiceName,
    server: ServerId,
    severity: u32,
    until: Time,
}

/// The grants of one replica.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    opens: Option<Time>,
    grants: Vec<Grant>,
    waiting: Vec<Waiting>,
}

impl Ledger {
    /// Allows grants after one lease, when those of an earlier incarnation or epoch have ended.
    pub(crate) fn open(&mut self, now: Time) {
        self.opens.get_or_insert(now + LEASE);
    }

    /// Answers a request; `headroom` is the number of live servers above the floor.
    pub(crate) fn handle(
        &mut self,
        now: Time,
        epoch: u64,
        request: &Request,
        headroom: u32,
    ) -> Response {
        self.grants.retain(|grant| now < grant.until);
        self.waiting.retain(|waiting| now < waiting.until);
        let open = self.opens.is_some_and(|opens| now >= opens) && epoch == request.epoch;
        if request.ask != Ask::Renew {
            // The attempt gives up what it was granted in earlier rounds; a request that was
            // delayed on its way takes nothing from a later round.
            self.grants.retain(|grant| {
                grant.attempt != request.attempt
                    || grant.round > request.round
                    || (request.ask == Ask::Claim && grant.number == request.number)
            });
        }
        // A claim that would have to give way at once is not granted in the first place.
        let outranked = request.ask == Ask::Claim
            && self.waiting.iter().any(|waiting| {
                waiting.service == request.service
                    && waiting.server != request.server
                    && request.severity <= waiting.severity / 2
            });
        let granted =
            open && request.ask != Ask::Release && !outranked && self.grant(now, request, headroom);
        self.note(now, request, granted);
        let waiting = self.waiting.iter().filter(|waiting| waiting.service == request.service);
        let waiting = waiting.map(|waiting| waiting.severity).max().unwrap_or(0);
        let free = if open && !granted { self.free(request, headroom) } else { None };
        Response { attempt: request.attempt, round: request.round, granted, waiting, free }
    }

    fn grant(&mut self, now: Time, request: &Request, headroom: u32) -> bool {
        if request.number >= headroom {
            return false;
        }
        let held = self
            .grants
            .iter_mut()
            .find(|grant| grant.number == request.number && grant.service == request.service);
        match held {
            Some(grant) if grant.attempt == request.attempt => {
                grant.until = now + LEASE;
                grant.round = grant.round.max(request.round);
                true
            }
            Some(_) => false,
            None => {
                self.grants.push(Grant {
                    service: request.service.clone(),
                    number: request.number,
                    attempt: request.attempt,
                    round: request.round,
                    until: now + LEASE,
                });
                true
            }
        }
    }

    /// Returns a free number; different attempts get different ones where there are several.
    fn free(&self, request: &Request, headroom: u32) -> Option<u32> {
        let taken = |number: &u32| {
            let mut grants = self.grants.iter();
            grants.any(|grant| grant.number == *number && grant.service == request.service)
        };
        let known = u32::try_from(self.grants.len()).unwrap_or(u32::MAX);
        let limit = headroom.min(known.saturating_add(FREE_CHOICES));
        let free: Vec<u32> = (0..limit).filter(|number| !taken(number)).collect();
        let choice = request.attempt.checked_rem(u128::try_from(free.len()).ok()?)?;
        free.get(usize::try_from(choice).ok()?).copied()
    }

    fn note(&mut self, now: Time, request: &Request, granted: bool) {
        self.waiting.retain(|waiting| {
            waiting.service != request.service || waiting.server != request.server
        });
        if request.ask == Ask::Claim && !granted {
            self.waiting.push(Waiting {
                service: request.service.clone(),
                server: request.server.clone(),
                severity: request.severity,
                until: now + WAITING,
            });
        }
    }
}

/// The permit of one unhealthy server, held or wanted.
#[derive(Debug, Clone)]
pub struct Permit {
    service: ServiceName,
    server: ServerId,
    attempt: Attempt,
    severity: u32,
    number: u32,
    round: u32,
    asked: Time,
    due: Time,
    granted: Vec<usize>,
    free: Option<u32>,
    until: Option<Time>,
    yielding: bool,
}

impl Permit {
    /// Wants a permit for `server`; `attempt` is unique.
    pub fn want(service: &str, server: &str, attempt: Attempt, severity: u32) -> Self {
        Self {
            service: service.to_string(),
            server: server.to_string(),
            attempt,
            severity,
            number: 0,
            round: 0,
            asked: Time::ZERO,
            due: Time::ZERO,
            granted: Vec::new(),
            free: None,
            until: None,
            yielding: false,
        }
    }

    /// Changes how unhealthy the server is.
    pub fn set_severity(&mut self, severity: u32) {
        self.severity = severity;
    }

    /// Returns true while the server may be ejected.
    pub fn is_held(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns the number of the permit that is held or wanted.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Returns the request that is due to every member of `group`, if any.
    ///
    /// `headroom` is the number of live servers above the floor as this node sees it: the numbers
    /// that are worth asking for.
    pub fn poll(&mut self, now: Time, group: &Group, headroom: u32) -> Option<Request> {
        if self.until.is_some_and(|until| now >= until) {
            self.until = None;
        }
        if self.yielding {
            self.due = now + RETRY;
            return Some(self.release(group));
        }
        if now < self.due {
            return None;
        }
        if self.until.is_none() && !self.granted.is_empty() {
            // Several claims have split the replicas. Each gives up and tries again at another
            // time, since none would get a majority otherwise.
            let spread = hash::of_bytes(&(self.attempt + u128::from(self.round)).to_le_bytes());
            self.due = now + BACKOFF * u32::try_from(spread % 10).unwrap_or(0);
            return Some(self.release(group));
        }
        if self.until.is_none() && self.round > 0 {
            let next = (self.number + 1).checked_rem(headroom).unwrap_or(0);
            self.number = self.free.take().unwrap_or(next);
        }
        self.asked = now;
        self.due = now + if self.until.is_some() { RENEWAL } else { RETRY };
        self.round += 1;
        self.granted.clear();
        let ask = if self.until.is_some() { Ask::Renew } else { Ask::Claim };
        Some(self.request(group, ask))
    }

    /// Takes the response of a member.
    pub fn replied(&mut self, group: &Group, from: &str, response: &Response) {
        let Some(place) = group.place(from) else { return };
        if response.attempt != self.attempt || response.round != self.round {
            return;
        }
        if response.granted && !self.granted.contains(&place) {
            self.granted.push(place);
        }
        self.free = self.free.or(response.free);
        if self.granted.len() >= group.majority() {
            self.until = self.until.max(Some(self.asked + HELD));
            self.due = self.due.max(self.asked + RENEWAL);
        }
        self.yielding |= self.until.is_some() && self.severity <= response.waiting / 2;
    }

    /// Returns the request that gives up the permit, for every member of `group`.
    pub fn release(&mut self, group: &Group) -> Request {
        let request = self.request(group, Ask::Release);
        self.until = None;
        self.yielding = false;
        self.granted.clear();
        // A grant of the round that was given up may still be on its way.
        self.round += 1;
        request
    }

    fn request(&self, group: &Group, ask: Ask) -> Request {
        Request {
            shard: group.shard,
            epoch: group.epoch,
            service: self.service.clone(),
            number: self.number,
            server: self.server.clone(),
            attempt: self.attempt,
            severity: self.severity,
            ask,
            round: self.round,
        }
    }
}

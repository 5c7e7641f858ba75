//! Permits to eject servers: numbered leases that a majority of a group's replicas grants.
//!
//! A replica grants the numbers below the headroom, the number of live servers of the service above
//! its floor. Each number has one holder at a time, so the ejections stay within the headroom.

use std::time::Duration;

use arbutuslane_core::hash;
use arbutuslane_core::id::{Attempt, ServerId, ServiceName, Shard};
use arbutuslane_core::time::Time;

use crate::group::Group;

/// The duration of a replica's grant.
pub const GRANT_LEASE: Duration = Duration::from_secs(3);

/// The duration of a permit at its holder, from the time of the request: 97% of the grant's lease,
/// which covers clocks of the holder and the replica that differ in speed by 1% each.
pub const HOLDER_LEASE: Duration = Duration::from_millis(2_910);

/// The interval between two renewals.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// The time for which a replica reports a refused claim's severity to holders of permits.
pub const WAITING_CLAIM_RETENTION: Duration = Duration::from_secs(2);

/// The time after which a claim without a majority is sent again, and for which a holder that
/// yields to a more severe fault waits before it claims again.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The unit of the backoff after claims that split the replicas' grants; the backoff is a
/// pseudo-random multiple of it, from 0 to 9.
const BACKOFF_STEP: Duration = Duration::from_millis(100);

/// The number of free permit numbers over which a replica spreads different attempts.
const FREE_NUMBER_CANDIDATES: u32 = 8;

/// The operation that a permit request performs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Operation {
    /// Requests a new grant.
    Claim,
    /// Extends the lease of a permit that is held.
    Renew,
    /// Ends the grants of the attempt.
    Release,
}

/// A request for a permit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// The shard that stores the service's permits.
    pub shard: Shard,
    /// The epoch of the group that the sender knows.
    pub epoch: u64,
    /// The service of the server.
    pub service: ServiceName,
    /// The number of the permit.
    pub number: u32,
    /// The server to eject.
    pub server: ServerId,
    /// The unique id of the permit's holder.
    pub attempt: Attempt,
    /// The severity of the server's fault; higher is less healthy.
    pub severity: u32,
    /// The operation.
    pub operation: Operation,
    /// The number of the holder's request; a response to an earlier request is ignored.
    pub round: u32,
}

/// The response of a replica to a permit request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// The attempt of the request.
    pub attempt: Attempt,
    /// The round of the request.
    pub round: u32,
    /// Whether the replica grants the permit.
    pub granted: bool,
    /// The highest severity among refused claims of the service in the last 2 s.
    pub waiting: u32,
    /// A free number that the replica suggests instead of the refused one, or `None` when it grants
    /// the permit or has no number to suggest.
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
struct WaitingClaim {
    service: ServiceName,
    server: ServerId,
    severity: u32,
    until: Time,
}

/// The permits that one replica has granted.
#[derive(Debug, Clone, Default)]
pub struct GrantTable {
    grants_from: Option<Time>,
    grants: Vec<Grant>,
    waiting: Vec<WaitingClaim>,
}

impl GrantTable {
    /// Allows grants from one lease after `now`, when all grants of an earlier incarnation or epoch
    /// have ended.
    pub(crate) fn start_granting(&mut self, now: Time) {
        self.grants_from.get_or_insert(now + GRANT_LEASE);
    }

    /// Handles a permit request; `headroom` is the number of live servers of the service above its
    /// floor.
    pub(crate) fn handle(
        &mut self,
        now: Time,
        epoch: u64,
        request: &Request,
        headroom: u32,
    ) -> Response {
        self.grants.retain(|grant| now < grant.until);
        self.waiting.retain(|waiting| now < waiting.until);
        let is_granting = self.grants_from.is_some_and(|grants_from| now >= grants_from)
            && epoch == request.epoch;
        if request.operation != Operation::Renew {
            // A claim or release ends the attempt's other grants. A request that was delayed in
            // the network does not end a grant of a later round.
            self.grants.retain(|grant| {
                grant.attempt != request.attempt
                    || grant.round > request.round
                    || (request.operation == Operation::Claim && grant.number == request.number)
            });
        }
        // A claim with at most half the severity of a waiting one is not granted, since its holder
        // would have to release the permit at once.
        let is_preempted = request.operation == Operation::Claim
            && self.waiting.iter().any(|waiting| {
                waiting.service == request.service
                    && waiting.server != request.server
                    && request.severity <= waiting.severity / 2
            });
        let granted = is_granting
            && request.operation != Operation::Release
            && !is_preempted
            && self.grant(now, request, headroom);
        self.update_waiting(now, request, granted);
        let waiting = self.waiting.iter().filter(|waiting| waiting.service == request.service);
        let waiting = waiting.map(|waiting| waiting.severity).max().unwrap_or(0);
        let free = if is_granting && !granted { self.free_number(request, headroom) } else { None };
        Response { attempt: request.attempt, round: request.round, granted, waiting, free }
    }

    /// Grants or extends the permit; returns false when it exceeds the headroom or has a holder.
    fn grant(&mut self, now: Time, request: &Request, headroom: u32) -> bool {
        if request.number >= headroom {
            return false;
        }
        let current = self
            .grants
            .iter_mut()
            .find(|grant| grant.number == request.number && grant.service == request.service);
        match current {
            Some(grant) if grant.attempt == request.attempt => {
                grant.until = now + GRANT_LEASE;
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
                    until: now + GRANT_LEASE,
                });
                true
            }
        }
    }

    /// Returns a free number below the headroom, chosen by the attempt so that several attempts
    /// spread over the free numbers.
    fn free_number(&self, request: &Request, headroom: u32) -> Option<u32> {
        let is_granted = |number: &u32| {
            let mut grants = self.grants.iter();
            grants.any(|grant| grant.number == *number && grant.service == request.service)
        };
        let grant_count = u32::try_from(self.grants.len()).unwrap_or(u32::MAX);
        let end = headroom.min(grant_count.saturating_add(FREE_NUMBER_CANDIDATES));
        let free_numbers: Vec<u32> = (0..end).filter(|number| !is_granted(number)).collect();
        let index = request.attempt.checked_rem(u128::try_from(free_numbers.len()).ok()?)?;
        free_numbers.get(usize::try_from(index).ok()?).copied()
    }

    /// Replaces the waiting claim of the request's server: a refused claim waits, any other request
    /// ends the wait.
    fn update_waiting(&mut self, now: Time, request: &Request, granted: bool) {
        self.waiting.retain(|waiting| {
            waiting.service != request.service || waiting.server != request.server
        });
        if request.operation == Operation::Claim && !granted {
            self.waiting.push(WaitingClaim {
                service: request.service.clone(),
                server: request.server.clone(),
                severity: request.severity,
                until: now + WAITING_CLAIM_RETENTION,
            });
        }
    }
}

/// The permit of one unhealthy server at its owner, which holds or requests it.
#[derive(Debug, Clone)]
pub struct Permit {
    service: ServiceName,
    server: ServerId,
    attempt: Attempt,
    severity: u32,
    number: u32,
    round: u32,
    requested_at: Time,
    next_request_at: Time,
    /// The indices of the group's members that granted the current round.
    granted_by: Vec<usize>,
    /// A free number that a replica suggested for the next claim.
    suggested_number: Option<u32>,
    held_until: Option<Time>,
    /// Whether a claim with at least twice the severity is waiting, so that the permit must be
    /// released.
    preempted: bool,
}

impl Permit {
    /// Returns a permit for `server` that is not held yet; `attempt` must be unique.
    pub fn new(service: &str, server: &str, attempt: Attempt, severity: u32) -> Self {
        Self {
            service: service.to_string(),
            server: server.to_string(),
            attempt,
            severity,
            number: 0,
            round: 0,
            requested_at: Time::ZERO,
            next_request_at: Time::ZERO,
            granted_by: Vec::new(),
            suggested_number: None,
            held_until: None,
            preempted: false,
        }
    }

    /// Sets the severity of the server's fault.
    pub fn set_severity(&mut self, severity: u32) {
        self.severity = severity;
    }

    /// Returns true while the permit is held, so that the server may be ejected.
    pub fn is_held(&self, now: Time) -> bool {
        self.held_until.is_some_and(|held_until| now < held_until)
    }

    /// Returns the number of the permit that is held or requested.
    pub fn number(&self) -> u32 {
        self.number
    }

    /// Returns the next request to send to every member of `group`, or `None` when no request is
    /// due.
    ///
    /// `headroom` is the number of live servers above the floor as this node sees it; only permit
    /// numbers below it are worth claiming.
    pub fn poll(&mut self, now: Time, group: &Group, headroom: u32) -> Option<Request> {
        if self.held_until.is_some_and(|held_until| now >= held_until) {
            self.held_until = None;
        }
        if self.preempted {
            self.next_request_at = now + RETRY_INTERVAL;
            return Some(self.release(group));
        }
        if now < self.next_request_at {
            return None;
        }
        if self.held_until.is_none() && !self.granted_by.is_empty() {
            // Several claims have split the replicas' grants, so that none has a majority. Each is
            // released and retried after another backoff.
            let backoff_hash =
                hash::of_bytes(&(self.attempt + u128::from(self.round)).to_le_bytes());
            self.next_request_at =
                now + BACKOFF_STEP * u32::try_from(backoff_hash % 10).unwrap_or(0);
            return Some(self.release(group));
        }
        if self.held_until.is_none() && self.round > 0 {
            let next = (self.number + 1).checked_rem(headroom).unwrap_or(0);
            self.number = self.suggested_number.take().unwrap_or(next);
        }
        self.requested_at = now;
        self.next_request_at =
            now + if self.held_until.is_some() { RENEWAL_INTERVAL } else { RETRY_INTERVAL };
        self.round += 1;
        self.granted_by.clear();
        let operation = if self.held_until.is_some() { Operation::Renew } else { Operation::Claim };
        Some(self.request(group, operation))
    }

    /// Records the response of the member `from`.
    pub fn replied(&mut self, group: &Group, from: &str, response: &Response) {
        let Some(index) = group.member_index(from) else { return };
        if response.attempt != self.attempt || response.round != self.round {
            return;
        }
        if response.granted && !self.granted_by.contains(&index) {
            self.granted_by.push(index);
        }
        self.suggested_number = self.suggested_number.or(response.free);
        if self.granted_by.len() >= group.majority() {
            self.held_until = self.held_until.max(Some(self.requested_at + HOLDER_LEASE));
            self.next_request_at = self.next_request_at.max(self.requested_at + RENEWAL_INTERVAL);
        }
        self.preempted |= self.held_until.is_some() && self.severity <= response.waiting / 2;
    }

    /// Releases the permit and returns the request to send to every member of `group`.
    pub fn release(&mut self, group: &Group) -> Request {
        let request = self.request(group, Operation::Release);
        self.held_until = None;
        self.preempted = false;
        self.granted_by.clear();
        // A grant of the released round may still be on its way and must not count.
        self.round += 1;
        request
    }

    fn request(&self, group: &Group, operation: Operation) -> Request {
        Request {
            shard: group.shard,
            epoch: group.epoch,
            service: self.service.clone(),
            number: self.number,
            server: self.server.clone(),
            attempt: self.attempt,
            severity: self.severity,
            operation,
            round: self.round,
        }
    }
}

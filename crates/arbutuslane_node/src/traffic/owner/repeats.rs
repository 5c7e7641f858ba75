//! Keeps repeated requests within the limit of the fleet, where they arrive.
//!
//! The owner of a server sees every request that the server gets, so the limit is divided among the
//! servers of a service rather than among the entries: there are fewer of them, each gets more
//! requests, and a repeat that one owner refuses may be sent to another one, whose part is not used
//! up.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_core::experiment::Mechanism;
use arbutuslane_core::id::ServiceName;
use arbutuslane_core::time::Time;
use arbutuslane_limit::repeats::{Limit, Part, Precedence};

use crate::traffic::worker::Worker;

use super::{ServerRequest, request_id};

/// How often the servers of a service are counted.
const COUNT_INTERVAL: Duration = Duration::from_millis(500);

/// Whether a request adds to the repeats of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Repeat {
    /// The request arrives for the first time.
    First,
    /// The request was sent to another server before. It is refused if the limit is reached.
    Retry,
    /// The request was caused by a repeat that was admitted: it is a call of a repeated request, or
    /// continues a download. It counts, but is not refused.
    Consequence,
}

/// Returns whether the limit admits a repeat that arrives at a server of `service`.
pub(super) fn admits(worker: &Worker, service: &str, server_request: &ServerRequest) -> bool {
    let shared = &worker.shared;
    let servers = || shared.server_count(service);
    let subject = Subject::of(worker, server_request);
    shared.repeats.admits(service, servers, subject, shared.clock.now())
}

/// Counts a request that is sent to its server, which belongs to `service`.
pub(super) fn count(worker: &Worker, service: &str, server_request: &ServerRequest) {
    let shared = &worker.shared;
    let servers = || shared.server_count(service);
    let subject = Subject::of(worker, server_request);
    shared.repeats.count(service, servers, subject, shared.clock.now());
}

/// The parts of the services whose servers this node owns, in ascending order of their names.
#[derive(Debug, Default)]
pub(crate) struct Repeats {
    limit: Option<Limit>,
    started_at: Time,
    services: Mutex<Vec<ServicePart>>,
}

#[derive(Debug)]
struct ServicePart {
    service: ServiceName,
    part: Part,
    counted_at: Time,
    /// The lowest rank of a request that this node has sent to its servers; 0 is the highest one.
    lowest_rank: u8,
}

/// What the limit needs to know of a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Subject {
    pub(crate) repeat: Repeat,
    /// Whether a server sent the request. Only requests of callers raise the limit.
    pub(crate) is_call: bool,
    pub(crate) rank: u8,
}

impl Subject {
    fn of(worker: &Worker, server_request: &ServerRequest) -> Self {
        let dialect = worker.shared.interface.dialect();
        let id = request_id(dialect, &server_request.request.headers);
        Self {
            repeat: server_request.repeat,
            is_call: dialect.parent_id(id).is_some(),
            rank: server_request.importance.rank,
        }
    }
}

impl Repeats {
    /// Returns the parts of `limit` in a process that started at `started_at`; without a limit, entries
    /// limit their retries themselves.
    pub(crate) fn new(limit: Option<Limit>, started_at: Time) -> Self {
        Self { limit, started_at, services: Mutex::default() }
    }

    /// Returns whether the limit admits a request to `service`. `servers` counts the servers of the
    /// service.
    pub(crate) fn admits(
        &self,
        service: &str,
        servers: impl Fn() -> usize,
        subject: Subject,
        now: Time,
    ) -> bool {
        if subject.repeat != Repeat::Retry || !Mechanism::RepeatLimit.is_on() {
            return true;
        }
        let admits = |known: &mut ServicePart| {
            let precedence = known.precedence(subject);
            known.part.admits(precedence, now)
        };
        self.with_part(service, servers, now, admits).unwrap_or(true)
    }

    /// Counts a request that is sent to a server of `service`.
    pub(crate) fn count(
        &self,
        service: &str,
        servers: impl Fn() -> usize,
        subject: Subject,
        now: Time,
    ) {
        let _ = self.with_part(service, servers, now, |known| {
            known.lowest_rank = known.lowest_rank.max(subject.rank);
            match subject.repeat {
                Repeat::First if subject.is_call => {}
                Repeat::First => known.part.count_first(now),
                Repeat::Retry => known.part.count_repeat(now),
                Repeat::Consequence => known.part.count_consequence(now),
            }
        });
    }

    fn with_part<R>(
        &self,
        service: &str,
        servers: impl Fn() -> usize,
        now: Time,
        change: impl FnOnce(&mut ServicePart) -> R,
    ) -> Option<R> {
        let limit = self.limit?;
        let mut services = self.lock();
        let index = match services.binary_search_by(|known| known.service.as_str().cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let (service, mut part) = (service.to_string(), Part::new(limit, self.started_at));
                part.set_owners(servers(), now);
                let known = ServicePart { service, part, counted_at: now, lowest_rank: 0 };
                services.insert(index, known);
                index
            }
        };
        let known = &mut services[index];
        if now >= known.counted_at + COUNT_INTERVAL {
            known.part.set_owners(servers(), now);
            known.counted_at = now;
        }
        Some(change(known))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ServicePart>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ServicePart {
    fn precedence(&self, subject: Subject) -> Precedence {
        match subject.is_call || subject.rank < self.lowest_rank {
            true => Precedence::High,
            false => Precedence::Low,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const SERVICE: &str = "bookings";

    /// Guards against retries beyond the part of one owner, against calls of servers that raise the
    /// limit, and against calls of repeated requests that are not counted.
    #[test]
    fn admits_part() {
        let window = Duration::from_secs(10);
        let repeats = Repeats::new(Some(Limit { ratio: 0.2, slack: 0.0, window }), Time::ZERO);
        let servers = || 10;
        let now = Duration::from_secs(1);
        let subject = |repeat, is_call| Subject { repeat, is_call, rank: 1 };
        let count = |repeat, is_call| {
            repeats.count(SERVICE, servers, subject(repeat, is_call), now);
        };
        let retry = subject(Repeat::Retry, false);
        assert!(!repeats.admits(SERVICE, servers, retry, now));
        for _ in 0..50 {
            count(Repeat::First, true);
        }
        assert!(!repeats.admits(SERVICE, servers, retry, now));
        for _ in 0..6 {
            count(Repeat::First, false);
        }
        assert!(repeats.admits(SERVICE, servers, retry, now));
        count(Repeat::Consequence, true);
        assert!(!repeats.admits(SERVICE, servers, retry, now));
        assert!(repeats.admits(SERVICE, servers, subject(Repeat::Consequence, true), now));
        assert!(Repeats::new(None, Time::ZERO).admits(SERVICE, servers, retry, now));
    }

    /// Guards against a slack that is withheld for a window after the first request rather than after
    /// the start of the process.
    #[test]
    fn admits_long_after_start() {
        let window = Duration::from_secs(10);
        let limit = Limit { ratio: 0.0, slack: 20.0, window };
        let repeats = Repeats::new(Some(limit), Duration::from_secs(5));
        let retry = Subject { repeat: Repeat::Retry, is_call: false, rank: 1 };
        assert!(!repeats.admits(SERVICE, || 1, retry, Duration::from_secs(14)));
        assert!(repeats.admits(SERVICE, || 1, retry, Duration::from_secs(15)));
        let unused = Repeats::new(Some(limit), Duration::from_secs(5));
        assert!(unused.admits(SERVICE, || 1, retry, Duration::from_secs(15)));
    }
}

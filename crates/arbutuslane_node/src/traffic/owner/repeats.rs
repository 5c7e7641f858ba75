//! Keeps repeated requests within the limit of the fleet, where they arrive.
//!
//! The owner of a server sees every request that the server gets, so the limit is divided among the
//! servers of a service rather than among the entries: there are fewer of them, each gets more
//! requests, and a repeat that one owner refuses may be sent to another one, whose part is not used
//! up.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_core::id::ServiceName;
use arbutuslane_core::time::Time;
use arbutuslane_limit::budget::{FleetLimit, Origin, RetryBudget};

/// How often the part of this node follows the number of servers of the service.
const UPDATE_INTERVAL: Duration = Duration::from_millis(500);

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

/// The budgets of the services whose servers this node owns, in ascending order of their names.
#[derive(Debug, Default)]
pub(crate) struct Repeats {
    limit: Option<FleetLimit>,
    services: Mutex<Vec<ServiceBudget>>,
}

#[derive(Debug)]
struct ServiceBudget {
    service: ServiceName,
    budget: RetryBudget,
    updated_at: Time,
}

impl Repeats {
    /// Returns the budgets under `limit`; without one, entries limit their retries themselves.
    pub(crate) fn new(limit: Option<FleetLimit>) -> Self {
        Self { limit, services: Mutex::default() }
    }

    /// Returns whether the limit admits a retry of a request to `service`. `servers` counts the
    /// servers of the service.
    pub(crate) fn admits(&self, service: &str, servers: impl Fn() -> usize, now: Time) -> bool {
        self.with_budget(service, servers, now, |budget| budget.is_available()).unwrap_or(true)
    }

    /// Counts a request that is sent to a server of `service`. `is_call` states whether a server sent
    /// it; only requests of callers raise the limit.
    pub(crate) fn count(
        &self,
        service: &str,
        servers: impl Fn() -> usize,
        (repeat, is_call): (Repeat, bool),
        now: Time,
    ) {
        let _ = self.with_budget(service, servers, now, |budget| match repeat {
            Repeat::First if is_call => {}
            Repeat::First => budget.earn(Origin::First),
            Repeat::Retry | Repeat::Consequence => budget.charge(),
        });
    }

    fn with_budget<R>(
        &self,
        service: &str,
        servers: impl Fn() -> usize,
        now: Time,
        change: impl FnOnce(&mut RetryBudget) -> R,
    ) -> Option<R> {
        let limit = self.limit.as_ref()?;
        let mut services = self.lock();
        let index = match services.binary_search_by(|known| known.service.as_str().cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let budget = limit.budget(servers(), now);
                let service = service.to_string();
                services.insert(index, ServiceBudget { service, budget, updated_at: now });
                index
            }
        };
        let ServiceBudget { budget, updated_at, .. } = &mut services[index];
        if now >= *updated_at + UPDATE_INTERVAL {
            limit.update(budget, servers());
            *updated_at = now;
        }
        budget.refill(now);
        Some(change(budget))
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ServiceBudget>> {
        self.services.lock().unwrap_or_else(PoisonError::into_inner)
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
        let repeats = Repeats::new(Some(FleetLimit { ratio: 0.2, slack: 0.0, window }));
        let servers = || 10;
        let now = Duration::from_secs(1);
        let count = |repeat, is_call| repeats.count(SERVICE, servers, (repeat, is_call), now);
        assert!(!repeats.admits(SERVICE, servers, now));
        for _ in 0..50 {
            count(Repeat::First, true);
        }
        assert!(!repeats.admits(SERVICE, servers, now));
        for _ in 0..6 {
            count(Repeat::First, false);
        }
        assert!(repeats.admits(SERVICE, servers, now));
        count(Repeat::Consequence, true);
        assert!(!repeats.admits(SERVICE, servers, now));
        assert!(Repeats::new(None).admits(SERVICE, servers, now));
    }
}

//! The request rates that an entry accepts per caller, per route and per service.

use std::net::IpAddr;
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use arbutuslane_catalogue::entry::Limits;
use arbutuslane_core::id::ServiceName;
use arbutuslane_core::time::Time;
use arbutuslane_limit::bucket::Bucket;

/// The maximum number of callers that are tracked for one service; beyond it, the caller with the
/// oldest last request is dropped.
const MAX_CALLERS_PER_SERVICE: usize = 4_096;

/// The token buckets of all services, in ascending order of the service names.
#[derive(Debug, Default)]
pub(crate) struct Limiter {
    services: RwLock<Vec<(ServiceName, Arc<Mutex<Buckets>>)>>,
}

#[derive(Debug)]
struct Buckets {
    limits: Limits,
    service: Bucket,
    /// The buckets by path prefix, in ascending order.
    routes: Vec<(String, Bucket)>,
    /// The buckets by address in ascending order, each with the time of the caller's last request.
    callers: Vec<(IpAddr, Bucket, Time)>,
}

impl Limiter {
    /// Takes one token from each bucket of a request, or returns how long the caller must wait.
    pub(crate) fn take(
        &self,
        service: &str,
        limits: &Limits,
        route: &str,
        caller: Option<IpAddr>,
        now: Time,
    ) -> Result<(), Duration> {
        let buckets = self.buckets(service, limits, now);
        let mut buckets = buckets.lock().unwrap_or_else(PoisonError::into_inner);
        if buckets.limits != *limits {
            buckets.reconfigure(limits, now);
        }
        if let Some(caller) = caller {
            buckets.caller_bucket(caller, now).take(now)?;
        }
        buckets.route_bucket(route, now).take(now)?;
        buckets.service.take(now)
    }

    /// Returns the buckets of `service`; creates them if they are missing.
    fn buckets(&self, service: &str, limits: &Limits, now: Time) -> Arc<Mutex<Buckets>> {
        {
            let services = self.services.read().unwrap_or_else(PoisonError::into_inner);
            let index = services.binary_search_by(|(name, _)| name.as_str().cmp(service));
            if let Ok(index) = index {
                return Arc::clone(&services[index].1);
            }
        }
        let mut services = self.services.write().unwrap_or_else(PoisonError::into_inner);
        match services.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            Ok(index) => Arc::clone(&services[index].1),
            Err(index) => {
                let created = Arc::new(Mutex::new(Buckets::new(limits, now)));
                services.insert(index, (service.to_string(), Arc::clone(&created)));
                created
            }
        }
    }
}

impl Buckets {
    fn new(limits: &Limits, now: Time) -> Self {
        Self {
            limits: limits.clone(),
            service: full_bucket(limits.service_rate, now),
            routes: Vec::new(),
            callers: Vec::new(),
        }
    }

    /// Applies changed limits to all buckets.
    fn reconfigure(&mut self, limits: &Limits, now: Time) {
        self.service.reconfigure(limits.service_rate, limits.service_rate, now);
        for (_, bucket) in &mut self.routes {
            bucket.reconfigure(limits.route_rate, limits.route_rate, now);
        }
        for (_, bucket, _) in &mut self.callers {
            bucket.reconfigure(limits.caller_rate, limits.caller_rate, now);
        }
        self.limits = limits.clone();
    }

    fn route_bucket(&mut self, route: &str, now: Time) -> &mut Bucket {
        let index = match self.routes.binary_search_by(|(known, _)| known.as_str().cmp(route)) {
            Ok(index) => index,
            Err(index) => {
                let bucket = full_bucket(self.limits.route_rate, now);
                self.routes.insert(index, (route.to_string(), bucket));
                index
            }
        };
        &mut self.routes[index].1
    }

    /// Returns the bucket of `caller`; a new one may replace that of the caller with the oldest
    /// last request.
    fn caller_bucket(&mut self, caller: IpAddr, now: Time) -> &mut Bucket {
        if self.callers.len() >= MAX_CALLERS_PER_SERVICE
            && self.callers.binary_search_by_key(&caller, |(known, ..)| *known).is_err()
        {
            let oldest = self.callers.iter().enumerate().min_by_key(|(_, (_, _, last))| *last);
            if let Some((index, _)) = oldest {
                self.callers.remove(index);
            }
        }
        let index = match self.callers.binary_search_by_key(&caller, |(known, ..)| *known) {
            Ok(index) => index,
            Err(index) => {
                let bucket = full_bucket(self.limits.caller_rate, now);
                self.callers.insert(index, (caller, bucket, now));
                index
            }
        };
        self.callers[index].2 = now;
        &mut self.callers[index].1
    }
}

/// Returns a full bucket with a capacity of one second's requests.
fn full_bucket(rate: u32, now: Time) -> Bucket {
    Bucket::new(rate, rate, now)
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a caller that uses up the rate of other callers.
    #[test]
    fn take_callers_apart() {
        let limiter = Limiter::default();
        let limits = Limits { caller_rate: 3, ..Limits::default() };
        let now = Duration::from_secs(1);
        let take = |caller: u8| {
            limiter.take("slots", &limits, "/", Some(IpAddr::from([10, 0, 0, caller])), now)
        };
        for _ in 0..3 {
            assert_eq!(take(1), Ok(()));
        }
        assert!(take(1).is_err());
        assert_eq!(take(2), Ok(()));
    }

    /// Guards against memory use that grows with the number of callers.
    #[test]
    fn take_callers_bounded() {
        let limits = Limits::default();
        let mut buckets = Buckets::new(&limits, Time::ZERO);
        for caller in 0..10_000_u32 {
            buckets.caller_bucket(IpAddr::from(caller.to_be_bytes()), Time::ZERO);
        }
        assert_eq!(buckets.callers.len(), MAX_CALLERS_PER_SERVICE);
    }
}

//! Server selection and retry budgets at the entry, by service.
//!
//! Each traffic thread has its own pickers, so that a selection takes no lock. The candidates are
//! refreshed when the server lists change, and periodically because leases expire without an event.

mod limits;
mod places;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use arbutuslane_balance::candidate::{Load, Serving};
use arbutuslane_balance::picker::{Picker, Request};
use arbutuslane_balance::subset::Subset;
use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::experiment::Mechanism;
use arbutuslane_core::id::{ServerId, ServiceName};
use arbutuslane_core::time::{Clock, Time};
use arbutuslane_health::peers::{Summarizer, Summary};
use arbutuslane_limit::acceptance::Acceptance;
use arbutuslane_limit::attempts::Untried;
use arbutuslane_limit::avoidance::AvoidedServers;
use arbutuslane_limit::budget::RetryBudget;
use arbutuslane_wire::load;

use crate::shared::{RemoteServer, Shared};

use super::worker::Worker;

pub(crate) use arbutuslane_limit::avoidance::Avoidance;
pub(crate) use places::ServerLocation;

use limits::KnownLimits;

/// How often candidates are refreshed if no server list has changed.
const CANDIDATE_REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// The services to which a thread has sent requests, in ascending order of their names.
#[derive(Debug, Default)]
pub(crate) struct Services {
    services: Vec<(ServiceName, ServiceState)>,
}

/// A server that was selected for a request.
#[derive(Debug)]
pub(crate) struct SelectedServer {
    pub(crate) server: ServerId,
    /// Where the server is reached.
    pub(crate) location: ServerLocation,
    /// Whether the server may be ejected and receives the request as a trial.
    pub(crate) is_trial: bool,
    /// How the server's peers perform, if the next summary for its owner is due.
    pub(crate) summary: Option<Summary>,
    /// The requests a second that the server states that it accepts.
    pub(crate) known_limit: Option<f64>,
}

/// Counts an attempt as in flight at this thread, and records its outcome when dropped.
#[derive(Debug)]
pub(crate) struct AttemptGuard {
    services: Rc<RefCell<Services>>,
    clock: Clock,
    service: ServiceName,
    server: ServerId,
    class: Class,
    id: u64,
    outcome: OutcomeCell,
    was_refused: bool,
}

/// The latency of an attempt at the owner and whether it succeeded; shared with the code that may
/// abandon the attempt.
#[derive(Debug, Clone, Default)]
pub(crate) struct OutcomeCell(Rc<Cell<Option<(Duration, bool)>>>);

#[derive(Debug)]
struct ServiceState {
    picker: Picker,
    budget: RetryBudget,
    acceptance: Acceptance,
    summarizer: Summarizer,
    next_id: u64,
    avoided: AvoidedServers,
    limits: KnownLimits,
    locations: Vec<(ServerId, ServerLocation)>,
    remote_servers: Arc<Vec<RemoteServer>>,
    local_version: u64,
    refreshed_at: Option<Time>,
}

impl Services {
    /// Runs `change` on the retry budget of `service`.
    pub(crate) fn with_budget<R>(
        &mut self,
        shared: &Shared,
        service: &str,
        change: impl FnOnce(&mut RetryBudget) -> R,
    ) -> R {
        change(&mut self.service(shared, service).budget)
    }

    /// Returns the state of `service`; creates it if it is missing.
    fn service(&mut self, shared: &Shared, service: &str) -> &mut ServiceState {
        let index = match self.services.binary_search_by(|(name, _)| name.as_str().cmp(service)) {
            Ok(index) => index,
            Err(index) => {
                let state = ServiceState {
                    picker: Picker::new(shared.settings.domain.clone()),
                    budget: shared.retry_budget(),
                    acceptance: Acceptance::default(),
                    summarizer: Summarizer::default(),
                    next_id: 0,
                    avoided: AvoidedServers::default(),
                    limits: KnownLimits::default(),
                    locations: Vec::new(),
                    remote_servers: Arc::default(),
                    local_version: 0,
                    refreshed_at: None,
                };
                self.services.insert(index, (service.to_string(), state));
                index
            }
        };
        &mut self.services[index].1
    }

    /// Returns the state of `service`, or `None` if this thread has sent no request to it.
    fn get_mut(&mut self, service: &str) -> Option<&mut ServiceState> {
        let index = self.services.binary_search_by(|(name, _)| name.as_str().cmp(service)).ok()?;
        Some(&mut self.services[index].1)
    }
}

impl ServiceState {
    /// Refreshes the candidates if a server list has changed or the refresh interval has passed.
    fn refresh_candidates(&mut self, shared: &Shared, name: &str, now: Time) {
        let remote_servers = shared.remote_servers();
        let local_version = shared.servers.version();
        let is_recent = self
            .refreshed_at
            .is_some_and(|refreshed_at| now < refreshed_at + CANDIDATE_REFRESH_INTERVAL);
        let is_unchanged = local_version == self.local_version
            && Arc::ptr_eq(&remote_servers, &self.remote_servers);
        if is_recent && is_unchanged {
            return;
        }
        let mut locations = places::open_servers(shared, name, &remote_servers, now);
        let names: Vec<ServerId> = locations.iter().map(|(server, _, _)| server.clone()).collect();
        let subset = Subset::default().choose(&shared.settings.node, &names);
        if subset.len() < locations.len() {
            locations.retain(|(server, _, _)| subset.contains(server));
        }
        self.picker
            .set_candidates(locations.iter().map(|(_, _, candidate)| candidate.clone()).collect());
        let mut candidates: Vec<ServerId> =
            locations.iter().map(|(server, ..)| server.clone()).collect();
        candidates.sort_unstable();
        self.summarizer.retain(&candidates);
        self.limits.retain(&candidates);
        self.locations =
            locations.into_iter().map(|(server, location, _)| (server, location)).collect();
        (self.remote_servers, self.local_version, self.refreshed_at) =
            (remote_servers, local_version, Some(now));
    }

    fn location(&self, server: &str) -> Option<&ServerLocation> {
        let index = self.locations.binary_search_by(|(name, _)| name.as_str().cmp(server)).ok()?;
        Some(&self.locations[index].1)
    }
}

impl AttemptGuard {
    /// Records the latency of the attempt at the owner and whether it succeeded.
    pub(crate) fn record(&mut self, latency: Duration, success: bool) {
        self.outcome.set(latency, success);
    }

    /// Returns a handle that records the outcome.
    pub(crate) fn outcome_cell(&self) -> OutcomeCell {
        self.outcome.clone()
    }

    /// Records that the owner refused the request because the server is full.
    pub(crate) fn record_refusal(&mut self) {
        self.was_refused = true;
    }
}

impl OutcomeCell {
    /// Records the latency of the attempt at the owner and whether it succeeded.
    pub(crate) fn set(&self, latency: Duration, success: bool) {
        self.0.set(Some((latency, success)));
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let mut services = self.services.borrow_mut();
        let Some(service) = services.get_mut(&self.service) else { return };
        let now = self.clock.now();
        let (latency, success) = self.outcome.0.get().unzip();
        let success = success.unwrap_or_default();
        service.picker.record_response(&self.server, now, latency, success);
        service.summarizer.ended(self.id);
        if self.was_refused {
            service.picker.refused(&self.server, now);
            service.summarizer.refused(&self.server, self.class, now);
        }
        if let Some(latency) = latency {
            let (server, class) = (&self.server, self.class);
            service.summarizer.observe(server, class, latency, success, now);
        }
    }
}

/// Selects a server of `service` that is not in `tried` and counts an attempt at it as in flight.
/// Selects `wanted` if the service still has that server.
pub(crate) fn select_server(
    worker: &Worker,
    name: &str,
    class: Class,
    tried: &[ServerId],
    wanted: Option<&ServerId>,
) -> Option<(SelectedServer, AttemptGuard)> {
    let shared = &worker.shared;
    let now = shared.clock.now();
    let mut services = worker.services.borrow_mut();
    let service = services.service(shared, name);
    service.refresh_candidates(shared, name, now);
    let mut rng = worker.rng.borrow_mut();
    let wanted = wanted.filter(|wanted| service.location(wanted).is_some());
    let pick = wanted.and_then(|wanted| service.picker.pick_named(wanted));
    let pick = pick.or_else(|| {
        service.avoided.select(tried, now, |excluded| {
            service.picker.pick(&Request { class, tried: excluded }, now, &mut rng)
        })
    })?;
    let location = service.location(&pick.server)?.clone();
    service.picker.sent(&pick.server, now);
    let id = service.next_id;
    service.next_id += 1;
    let allow = |urgent| Mechanism::PeerSummaries.is_on() && shared.may_attach_summary(urgent, now);
    let summary = service.summarizer.due_summary(&pick.server, class, now, allow);
    service.summarizer.sent(&pick.server, class, id, now);
    let attempt_guard = AttemptGuard {
        services: Rc::clone(&worker.services),
        clock: shared.clock,
        service: name.to_string(),
        server: pick.server.clone(),
        class,
        id,
        outcome: OutcomeCell::default(),
        was_refused: false,
    };
    let known_limit = service.limits.get(&pick.server);
    let (server, is_trial) = (pick.server, pick.is_trial);
    Some((SelectedServer { server, location, is_trial, summary, known_limit }, attempt_guard))
}

/// Returns the age at `now` of the last load report of `server`, or `None` without a report.
pub(crate) fn load_age(
    worker: &Worker,
    service: &str,
    server: &str,
    now: Time,
) -> Option<Duration> {
    let mut services = worker.services.borrow_mut();
    let reported = services.get_mut(service)?.picker.last_report_at(server)?;
    Some(now.saturating_sub(reported))
}

/// Records whether an owner of a server of `service` accepted a request at once.
pub(crate) fn record_acceptance(worker: &Worker, service: &str, accepted: bool) {
    if let Some(service) = worker.services.borrow_mut().get_mut(service) {
        service.acceptance.record(accepted);
    }
}

/// Returns how many owners a request to `service` asks before it waits.
pub(crate) fn max_owners(worker: &Worker, service: &str) -> u32 {
    worker.services.borrow_mut().service(&worker.shared, service).acceptance.max_owners()
}

/// Returns whether the retry budget of `service` allows another attempt.
pub(crate) fn has_retry_budget(worker: &Worker, service: &str) -> bool {
    let mut services = worker.services.borrow_mut();
    let Some(service) = services.get_mut(service) else { return false };
    service.budget.is_available()
}

/// Returns which servers of `service` are neither in `tried` nor gone.
pub(crate) fn untried(worker: &Worker, service: &str, tried: &[ServerId]) -> Untried {
    let now = worker.shared.clock.now();
    let mut services = worker.services.borrow_mut();
    let Some(service) = services.get_mut(service) else {
        return Untried { any: false, trusted: false };
    };
    let servers = service.locations.iter().map(|(server, _)| server);
    service.avoided.untried(servers, tried, now)
}

/// Records the load that the owner of `server` reported.
pub(crate) fn record_load(worker: &Worker, service: &str, server: &str, report: &load::Report) {
    let load = Load {
        in_flight: report.in_flight,
        queued: report.queued,
        slots: report.slots,
        latency: Duration::from_micros(u64::from(report.latency_us)),
        serving: serving(report.serving),
        ramp_percent: report.ramp_percent,
    };
    let mut services = worker.services.borrow_mut();
    let Some(service) = services.get_mut(service) else { return };
    service.picker.report(server, &load, worker.shared.clock.now());
}

/// Records the limit that the owner of `server` reports, in requests a second, or that there is none.
pub(crate) fn record_limit(worker: &Worker, service: &str, server: &str, limit: Option<f64>) {
    if let Some(service) = worker.services.borrow_mut().get_mut(service) {
        service.limits.set(server, limit);
    }
}

/// Avoids `server` for a while: it is selected only if no other server is left.
///
/// A server that refuses quickly looks idle, and would attract all requests and use up the retry
/// budget. One server that had left caused 186 to 223 retries in an overload before the lists were
/// exchanged.
pub(crate) fn avoid_server(worker: &Worker, service: &str, server: &str, reason: Avoidance) {
    let now = worker.shared.clock.now();
    let mut services = worker.services.borrow_mut();
    let Some(service) = services.get_mut(service) else { return };
    service.avoided.add(server, reason, now);
}

/// Avoids the servers of `owner` for a short while because the owner could not be reached.
pub(crate) fn mark_owner_unreachable(worker: &Worker, owner: &str) {
    let now = worker.shared.clock.now();
    for (_, service) in &mut worker.services.borrow_mut().services {
        service.picker.unreachable(owner, now);
    }
}

fn serving(serving: load::Serving) -> Serving {
    match serving {
        load::Serving::Open => Serving::Open,
        load::Serving::Ejected => Serving::Ejected,
        load::Serving::Draining => Serving::Draining,
    }
}

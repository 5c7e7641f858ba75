//! Metrics of the request path and of announcements.

mod render;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::id::ServiceName;
use arbutuslane_event::metric::{Counters, Histograms};

pub(crate) use render::render;

/// The metrics of a node: counters, and the gauge of requests in flight.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    /// Requests of callers whose response was relayed.
    pub(crate) answered: AtomicU64,
    /// Requests of callers that were refused and did not run.
    pub(crate) not_run: AtomicU64,
    /// Requests of callers that may have run.
    pub(crate) unknown: AtomicU64,
    /// Requests that were sent to another server under the retry budget.
    pub(crate) retries: AtomicU64,
    /// Retries because a server had moved, left or started to drain; they use no retry budget.
    pub(crate) stale_retries: AtomicU64,
    /// Requests that an owner rejected because its server was full or failed most requests.
    pub(crate) rejected_by_owner: AtomicU64,
    /// Requests that this node dispatched to its backend servers.
    pub(crate) dispatched: AtomicU64,
    /// Connections of callers, peers and others that were closed for want of room.
    pub(crate) connections: Arc<arbutuslane_listen::connections::Counters>,
    /// Connections that were opened for requests.
    pub(crate) connections_opened: AtomicU64,
    /// Exchanges on a reused connection.
    pub(crate) connections_reused: AtomicU64,
    /// Responses that were discarded because they belonged to another exchange.
    pub(crate) wrong_exchange: AtomicU64,
    /// Response bodies that broke off; the connection to the caller was closed.
    pub(crate) truncated: AtomicU64,
    /// Responses that were cut because the memory for bodies was used up.
    pub(crate) cut_for_memory: AtomicU64,
    /// Downloads that were continued from another server.
    pub(crate) resumed: AtomicU64,
    /// Requests whose caller disconnected before the response was complete.
    pub(crate) cancelled: AtomicU64,
    /// Offers that this node refused as an owner, so that no body was sent.
    pub(crate) offers_refused: AtomicU64,
    /// Bytes of the bodies of forwarded requests that this node refused after it had received them.
    pub(crate) refused_body_bytes: AtomicU64,
    /// Requests that were refused because of the bodies that their servers have.
    pub(crate) refused_by_server_bodies: AtomicU64,
    /// Request bodies that were streamed, because the memory for bodies was used up.
    pub(crate) streamed_bodies: AtomicU64,
    /// Configuration items that were fetched from other processes.
    pub(crate) fetched_items: AtomicU64,
    /// Messages about accepted items that this node passed on to others.
    pub(crate) relayed_messages: AtomicU64,
    /// Those of them without a response in time.
    pub(crate) failed_relays: AtomicU64,
    /// Tokens of allowances that lenders lent to this node.
    borrowed_tokens: AtomicU64,
    /// Messages to lenders that brought a response about tokens.
    pub(crate) loans: AtomicU64,
    /// Messages to lenders that brought no response about tokens.
    pub(crate) failed_loans: AtomicU64,
    /// Requests of callers that exceeded the allowance of their workspace.
    pub(crate) allowance_refused: AtomicU64,
    /// Requests of callers that exceeded this node's own share of the allowance while it reached no
    /// lender.
    pub(crate) base_share_refused: AtomicU64,
    /// Requests of callers and peers in flight.
    pub(crate) in_flight: AtomicI64,
    labelled: Labelled,
}

/// The metrics with labels.
#[derive(Debug, Default)]
struct Labelled(Mutex<Families>);

#[derive(Debug)]
struct Families {
    /// The time to the response head of answered requests, by service and class.
    latencies: Histograms,
    /// The time that requests spend at this node's servers, by stage.
    stages: Histograms,
    /// The requests of callers, by route, service, outcome and reason.
    outcomes: Counters,
    /// The attempts without a response, by service and reason.
    attempts: Counters,
    /// The requests that waited for a slot of a server of this node in vain, by service and reason.
    admission_refusals: Counters,
    /// The announcements of servers, by result.
    announcements: Counters,
    /// The comparisons of configuration items with other processes, by result.
    comparisons: Counters,
    /// The retries that the budget allowed at the last decision, by service and traffic thread.
    budgets: BTreeMap<(ServiceName, u64), u32>,
}

/// The most label sets that one metric family counts separately.
const MAX_LABEL_SETS: usize = 2_048;

/// A stage of a request at the owner of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Waiting for a slot.
    Queue,
    /// Between dispatch and the response head.
    Server,
}

/// The result of an announcement or departure of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnnouncementOutcome {
    /// The server or its incarnation was new to this node.
    New,
    /// The announcement renewed the lease.
    Renewed,
    /// The announcement started a drain.
    Draining,
    /// A later announcement of the same incarnation was already known.
    Late,
    /// The announcement was invalid, or its incarnation had left or been superseded.
    Refused,
    /// The server announced its departure.
    Left,
}

/// The route and the service of a caller's request, empty where routing failed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Destination {
    /// The name of the route.
    pub(crate) route: String,
    /// The service of the route.
    pub(crate) service: String,
}

impl Default for Families {
    fn default() -> Self {
        let latencies = Histograms::new(
            "arbutuslane_request_seconds",
            "Time to the response head of answered requests.",
            &["service", "class"],
            MAX_LABEL_SETS,
        );
        let stages = Histograms::new(
            "arbutuslane_stage_seconds",
            "Time of requests at servers of this node, by stage.",
            &["stage"],
            MAX_LABEL_SETS,
        );
        let outcomes = Counters::new(
            "arbutuslane_request_outcomes_total",
            "Requests of callers by outcome and reason.",
            &["route", "service", "outcome", "reason"],
            MAX_LABEL_SETS,
        );
        let attempts = Counters::new(
            "arbutuslane_attempts_without_response_total",
            "Attempts that brought no response, by reason.",
            &["service", "reason"],
            MAX_LABEL_SETS,
        );
        let admission_refusals = Counters::new(
            "arbutuslane_admission_refusals_total",
            "Requests that were to wait for a slot and got none, by reason.",
            &["service", "reason"],
            MAX_LABEL_SETS,
        );
        let announcements = Counters::new(
            "arbutuslane_announcements_total",
            "Announcements of servers by what became of them.",
            &["fate"],
            MAX_LABEL_SETS,
        );
        let comparisons = Counters::new(
            "arbutuslane_comparisons_total",
            "Comparisons of configuration items with other processes, by result.",
            &["outcome"],
            MAX_LABEL_SETS,
        );
        let budgets = BTreeMap::new();
        Self {
            latencies,
            stages,
            outcomes,
            attempts,
            admission_refusals,
            announcements,
            comparisons,
            budgets,
        }
    }
}

impl Labelled {
    fn lock(&self) -> MutexGuard<'_, Families> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Metrics {
    /// Records the time to the response head of an answered request.
    pub(crate) fn record_response_time(&self, service: &str, class: Class, latency: Duration) {
        self.labelled.lock().latencies.record(&[service, class.name()], latency);
    }

    /// Records the time that a request spent in a stage.
    pub(crate) fn record_stage(&self, stage: Stage, elapsed: Duration) {
        let stage = match stage {
            Stage::Queue => "queue",
            Stage::Server => "server",
        };
        self.labelled.lock().stages.record(&[stage], elapsed);
    }

    /// Counts the outcome of a caller's request.
    pub(crate) fn count_outcome(&self, destination: &Destination, outcome: &str, reason: &str) {
        let Destination { route, service } = destination;
        self.labelled.lock().outcomes.add(&[route, service, outcome, reason], 1);
    }

    /// Counts tokens that a lender lent.
    pub(crate) fn add_borrowed_tokens(&self, tokens: u32) {
        self.borrowed_tokens.fetch_add(u64::from(tokens), Ordering::Relaxed);
    }

    /// Returns the number of callers' requests that have a result.
    pub(crate) fn finished(&self) -> u64 {
        let counters = [&self.answered, &self.not_run, &self.unknown];
        counters.iter().map(|counter| counter.load(Ordering::Relaxed)).sum()
    }

    /// Counts an attempt without a response.
    pub(crate) fn count_failed_attempt(&self, service: &str, reason: &str) {
        self.labelled.lock().attempts.add(&[service, reason], 1);
    }

    /// Counts a request that was to wait for a slot and got none.
    pub(crate) fn count_admission_refusal(&self, service: &str, reason: &str) {
        self.labelled.lock().admission_refusals.add(&[service, reason], 1);
    }

    /// Counts an announcement.
    pub(crate) fn count_announcement(&self, result: AnnouncementOutcome) {
        let result = match result {
            AnnouncementOutcome::New => "new",
            AnnouncementOutcome::Renewed => "renewed",
            AnnouncementOutcome::Draining => "draining",
            AnnouncementOutcome::Late => "late",
            AnnouncementOutcome::Refused => "refused",
            AnnouncementOutcome::Left => "left",
        };
        self.labelled.lock().announcements.add(&[result], 1);
    }

    /// Counts a comparison of configuration items.
    pub(crate) fn count_comparison(&self, outcome: &'static str) {
        self.labelled.lock().comparisons.add(&[outcome], 1);
    }

    /// Records the retries that the budget of a traffic thread allows now.
    pub(crate) fn record_retry_budget(&self, service: &str, thread: u64, retries: u32) {
        let mut families = self.labelled.lock();
        if families.budgets.len() < MAX_LABEL_SETS {
            families.budgets.insert((service.to_string(), thread), retries);
        }
    }
}

/// Adds one to a counter.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

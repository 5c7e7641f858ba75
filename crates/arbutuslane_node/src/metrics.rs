//! Counters of the request path and their Prometheus text form.

use std::fmt::Write;
use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use arbutuslane_catalogue::entry::Class;
use arbutuslane_event::metric::{Histograms, Text};

use crate::shared::Shared;

/// The counters of a node; each only rises, except the gauge of requests in flight.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    /// Requests of callers whose response was passed on.
    pub(crate) answered: AtomicU64,
    /// Requests of callers that were refused and did not run.
    pub(crate) not_run: AtomicU64,
    /// Requests of callers that may have run.
    pub(crate) unknown: AtomicU64,
    /// Requests that were sent to another server under the retry budget.
    pub(crate) retries: AtomicU64,
    /// Retries because a server had moved, left or begun to drain; they cost no budget.
    pub(crate) stale_retries: AtomicU64,
    /// Requests that an owner turned away because its server was full or failed most requests.
    pub(crate) turned_away: AtomicU64,
    /// Requests that this node dispatched to its backend servers.
    pub(crate) dispatched: AtomicU64,
    /// Connections that were opened for requests.
    pub(crate) connections_opened: AtomicU64,
    /// Exchanges that used an earlier connection.
    pub(crate) connections_reused: AtomicU64,
    /// Responses that were discarded because they belong to another exchange.
    pub(crate) wrong_exchange: AtomicU64,
    /// Response bodies that broke off; the connection to the caller was closed.
    pub(crate) truncated: AtomicU64,
    /// Downloads that were continued from another server.
    pub(crate) resumed: AtomicU64,
    /// Requests whose caller left before the response was complete.
    pub(crate) cancelled: AtomicU64,
    /// Requests of callers and peers in flight.
    pub(crate) in_flight: AtomicI64,
    latencies: Latencies,
}

/// The latencies of answered requests, until the response head, by service and class.
#[derive(Debug)]
struct Latencies(Mutex<Histograms>);

/// The most pairs of service and class that are measured apart.
const LATENCIES: usize = 2_048;

impl Default for Latencies {
    fn default() -> Self {
        let help = "Time to the response head of answered requests.";
        let name = "arbutuslane_request_seconds";
        Self(Mutex::new(Histograms::new(name, help, &["service", "class"], LATENCIES)))
    }
}

impl Metrics {
    /// Takes in the latency of an answered request.
    pub(crate) fn answered_within(&self, service: &str, class: Class, latency: Duration) {
        let class = match class {
            Class::Idempotent => "idempotent",
            Class::NonIdempotent => "non-idempotent",
            Class::Download => "download",
        };
        let mut histograms = self.latencies.0.lock().unwrap_or_else(PoisonError::into_inner);
        histograms.record(&[service, class], latency);
    }
}

/// Adds one to a counter.
pub(crate) fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Returns all metrics in Prometheus text form.
pub(crate) fn render(shared: &Shared) -> String {
    let metrics = &shared.metrics;
    let mut text = String::with_capacity(4 << 10);
    let outcomes = [
        ("answered", &metrics.answered),
        ("not-run", &metrics.not_run),
        ("unknown", &metrics.unknown),
    ];
    let _ = writeln!(text, "# TYPE arbutuslane_requests_total counter");
    for (outcome, counter) in outcomes {
        let value = counter.load(Ordering::Relaxed);
        let _ = writeln!(text, "arbutuslane_requests_total{{outcome=\"{outcome}\"}} {value}");
    }
    let counters = [
        ("retries", &metrics.retries),
        ("stale_retries", &metrics.stale_retries),
        ("turned_away", &metrics.turned_away),
        ("dispatched", &metrics.dispatched),
        ("connections_opened", &metrics.connections_opened),
        ("connections_reused", &metrics.connections_reused),
        ("wrong_exchange", &metrics.wrong_exchange),
        ("truncated_bodies", &metrics.truncated),
        ("resumed_downloads", &metrics.resumed),
        ("cancelled", &metrics.cancelled),
    ];
    for (name, counter) in counters {
        let value = counter.load(Ordering::Relaxed);
        let _ = writeln!(text, "# TYPE arbutuslane_{name}_total counter");
        let _ = writeln!(text, "arbutuslane_{name}_total {value}");
    }
    let gauges = [
        ("in_flight", metrics.in_flight.load(Ordering::Relaxed).unsigned_abs()),
        ("configuration_revision", shared.configuration().revision()),
        ("awaited_revision", shared.awaited()),
        ("remote_servers", shared.remotes().len() as u64),
        ("control_unreachable", u64::from(shared.cluster.contact().is_unreachable())),
        ("stopping", u64::from(shared.stopping())),
    ];
    for (name, value) in gauges {
        let _ = writeln!(text, "# TYPE arbutuslane_{name} gauge");
        let _ = writeln!(text, "arbutuslane_{name} {value}");
    }
    render_servers(shared, &mut text);
    let mut histograms = Text::default();
    let latencies = metrics.latencies.0.lock().unwrap_or_else(PoisonError::into_inner);
    histograms.histograms(&latencies);
    text + &histograms.finish()
}

fn render_servers(shared: &Shared, text: &mut String) {
    let now = shared.clock.now();
    for name in ["in_flight", "queued", "slots", "open"] {
        let _ = writeln!(text, "# TYPE arbutuslane_server_{name} gauge");
        for server in shared.servers.all() {
            let report = server.report();
            let value = match name {
                "in_flight" => report.in_flight,
                "queued" => report.queued,
                "slots" => report.slots,
                _ => u32::from(server.open(now)),
            };
            let (service, id) = (label(&server.service), label(&server.id));
            let _ = writeln!(
                text,
                "arbutuslane_server_{name}{{service=\"{service}\",server=\"{id}\"}} {value}"
            );
        }
    }
}

/// Escapes a label value as the text format demands.
fn label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

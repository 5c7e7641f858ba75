//! Rendering of the metrics of a node in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::sync::atomic::Ordering;

use arbutuslane_core::time::millis;
use arbutuslane_event::metric::Text;

use crate::shared::Shared;
use crate::traffic::held_responses;

use super::Metrics;

/// Returns all metrics in the Prometheus text format.
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
        ("turned_away", &metrics.rejected_by_owner),
        ("dispatched", &metrics.dispatched),
        ("connections_replaced", &metrics.connections.replaced),
        ("connections_refused", &metrics.connections.refused),
        ("connections_opened", &metrics.connections_opened),
        ("connections_reused", &metrics.connections_reused),
        ("wrong_exchange", &metrics.wrong_exchange),
        ("truncated_bodies", &metrics.truncated),
        ("responses_cut_for_memory", &metrics.cut_for_memory),
        ("resumed_downloads", &metrics.resumed),
        ("cancelled", &metrics.cancelled),
        ("offers_refused", &metrics.offers_refused),
        ("refused_body_bytes", &metrics.refused_body_bytes),
        ("refused_by_server_bodies", &metrics.refused_by_server_bodies),
        ("streamed_bodies", &metrics.streamed_bodies),
        ("fetched_items", &metrics.fetched_items),
        ("relayed_messages", &metrics.relayed_messages),
        ("relayed_messages_failed", &metrics.failed_relays),
        ("allowance_tokens_borrowed", &metrics.borrowed_tokens),
        ("allowance_loans", &metrics.loans),
        ("allowance_loans_failed", &metrics.failed_loans),
        ("allowance_refused", &metrics.allowance_refused),
        ("allowance_refused_base_share", &metrics.base_share_refused),
    ];
    let gave_way = [
        ("bodies_gave_way", shared.bodies.gave_way()),
        ("messages_gave_way", shared.message_bodies.gave_way()),
    ];
    let counters = counters.map(|(name, counter)| (name, counter.load(Ordering::Relaxed)));
    for (name, value) in counters.into_iter().chain(gave_way) {
        let _ = writeln!(text, "# TYPE arbutuslane_{name}_total counter");
        let _ = writeln!(text, "arbutuslane_{name}_total {value}");
    }
    if let Some(allowances) = &shared.allowances {
        let expired = allowances.expired_tokens();
        let _ = writeln!(text, "# TYPE arbutuslane_allowance_tokens_expired_total counter");
        let _ = writeln!(text, "arbutuslane_allowance_tokens_expired_total {expired}");
        let (lent, refused) = allowances.lent_tokens();
        for (name, value) in [("lent", lent), ("refused", refused)] {
            let name = format!("arbutuslane_allowance_tokens_{name}_total");
            let _ = writeln!(text, "# TYPE {name} counter\n{name} {value}");
        }
    }
    let gauges = [
        ("in_flight", metrics.in_flight.load(Ordering::Relaxed).unsigned_abs()),
        ("configuration_revision", shared.configuration().revision()),
        ("awaited_revision", shared.awaited_revision()),
        ("configuration_items", shared.configuration().items().len() as u64),
        ("configuration_provisional", u64::from(shared.completeness.is_provisional())),
        ("configuration_behind", u64::from(shared.completeness.is_behind())),
        (
            "items_compared_age_ms",
            millis(shared.completeness.time_since_comparison(shared.clock.now())),
        ),
        ("remote_servers", shared.remote_servers().len() as u64),
        ("control_unreachable", u64::from(shared.cluster.control_contact().is_unreachable())),
        ("held_body_bytes", shared.body_memory.used() as u64),
        ("held_body_bytes_limit", shared.body_memory.limit() as u64),
        ("held_responses", held_responses(shared)),
        ("stopping", u64::from(shared.is_stopping())),
    ];
    for (name, value) in gauges {
        let _ = writeln!(text, "# TYPE arbutuslane_{name} gauge");
        let _ = writeln!(text, "arbutuslane_{name} {value}");
    }
    render_servers(shared, &mut text);
    text + &render_labelled(metrics)
}

fn render_labelled(metrics: &Metrics) -> String {
    let families = metrics.labelled.lock();
    let mut text = Text::default();
    text.counters(&families.outcomes);
    text.counters(&families.attempts);
    text.counters(&families.admission_refusals);
    text.counters(&families.announcements);
    text.counters(&families.comparisons);
    let mut budgets: BTreeMap<&str, u64> = BTreeMap::new();
    for ((service, _), retries) in &families.budgets {
        *budgets.entry(service).or_default() += u64::from(*retries);
    }
    let rows: Vec<(Vec<String>, u64)> =
        budgets.into_iter().map(|(service, left)| (vec![service.to_string()], left)).collect();
    let help = "Retries that the budget allowed when a request last asked.";
    text.gauges("arbutuslane_retry_budget", help, &["service"], &rows);
    text.histograms(&families.latencies);
    text.histograms(&families.stages);
    text.finish()
}

fn render_servers(shared: &Shared, text: &mut String) {
    let now = shared.clock.now();
    let _ = writeln!(text, "# TYPE arbutuslane_server_stated_limit gauge");
    for server in shared.servers.all() {
        let Some(limit) = server.stated_limit() else { continue };
        let (service, id) = (escape_label(&server.service), escape_label(&server.id));
        let _ = writeln!(
            text,
            "arbutuslane_server_stated_limit{{service=\"{service}\",server=\"{id}\"}} {limit}"
        );
    }
    let _ = writeln!(text, "# TYPE arbutuslane_server_body_bytes gauge");
    for server in shared.servers.all() {
        let Some(bodies) = &server.bodies else { continue };
        let (service, id) = (escape_label(&server.service), escape_label(&server.id));
        let _ = writeln!(
            text,
            "arbutuslane_server_body_bytes{{service=\"{service}\",server=\"{id}\"}} {}",
            bodies.used()
        );
    }
    for name in ["in_flight", "queued", "slots", "open", "suspect", "suspicions", "failures"] {
        let _ = writeln!(text, "# TYPE arbutuslane_server_{name} gauge");
        for server in shared.servers.all() {
            let report = server.report();
            let value = match name {
                "in_flight" => report.in_flight,
                "queued" => report.queued,
                "slots" => report.slots,
                "open" => u32::from(server.is_open(now)),
                "suspect" => u32::from(server.health.is_suspect()),
                "suspicions" => u32::try_from(server.health.suspicions()).unwrap_or(u32::MAX),
                _ => u32::try_from(server.health.failures()).unwrap_or(u32::MAX),
            };
            let (service, id) = (escape_label(&server.service), escape_label(&server.id));
            let _ = writeln!(
                text,
                "arbutuslane_server_{name}{{service=\"{service}\",server=\"{id}\"}} {value}"
            );
        }
    }
}

/// Escapes a label value for the Prometheus text format.
fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

//! Records how requests ended at their entry.

use std::time::Duration;

use arbutuslane_core::time::millis;

use crate::metrics::{Destination, count};

use super::entry::{FinalResponse, is_failure};
use super::refusal::{Outcome, Refusal};
use super::worker::Worker;

/// Records the outcome of a request in the metrics and in the log.
pub(super) fn record(
    worker: &Worker,
    id: &str,
    destination: &Destination,
    result: &Result<FinalResponse, Refusal>,
    elapsed: Duration,
) {
    let metrics = &worker.shared.metrics;
    let took_ms = millis(elapsed);
    match result {
        Ok(FinalResponse::Relayed(relayed)) => {
            let (routed, response, tried) = relayed.as_ref();
            count(&metrics.answered);
            let is_error = is_failure(response);
            let reason = if is_error { "server-error" } else { "" };
            metrics.count_outcome(destination, "answered", reason);
            metrics.record_response_time(&routed.service, routed.class, elapsed);
            let late_ms = millis(worker.shared.clock.now().saturating_sub(routed.due));
            tracing::info!(
                event = "request",
                request = id,
                outcome = "answered",
                status = response.status.as_u16(),
                route = routed.route,
                service = routed.service,
                workspace = routed.workspace.as_ref().map(|workspace| workspace.name.as_str()),
                server = tried.last(),
                asked = tried.len(),
                late_ms,
                took_ms
            );
        }
        Ok(FinalResponse::Complete(_)) => {
            count(&metrics.answered);
            metrics.count_outcome(destination, "replayed", "");
            tracing::info!(event = "request", request = id, outcome = "replayed", took_ms);
        }
        Err(refusal) => {
            let outcome = match refusal.outcome {
                Outcome::NotRun => "not-run",
                Outcome::Unknown => "unknown",
            };
            match refusal.outcome {
                Outcome::NotRun => count(&metrics.not_run),
                Outcome::Unknown => count(&metrics.unknown),
            }
            metrics.count_outcome(destination, outcome, refusal.reason());
            let Destination { route, service } = destination;
            tracing::info!(
                event = "request",
                request = id,
                outcome,
                route,
                service,
                status = refusal.status.as_u16(),
                cause = refusal.reason(),
                reason = refusal.error,
                took_ms
            );
        }
    }
}

/// Records a failed call as a failure of the request that made it. A backend server of this node
/// runs that request, which will fail as a consequence; its failure is no evidence against the
/// server.
pub(super) fn record_failed_call(
    worker: &Worker,
    id: &str,
    result: &Result<FinalResponse, Refusal>,
) {
    let Some(parent) = worker.shared.interface.dialect().parent_id(id) else { return };
    let is_failure = match result {
        Ok(FinalResponse::Relayed(relayed)) => is_failure(&relayed.1),
        Ok(FinalResponse::Complete(_)) => false,
        Err(_) => true,
    };
    if is_failure {
        worker.shared.failed_calls.add(parent);
    }
}

//! Refusals of requests that got no slot of a server.

use std::time::Duration;

use arbutuslane_limit::gate::{self, Reason};

use super::{ServerRequest, millis, request_id};
use crate::announce::Server;
use crate::traffic::fields;
use crate::traffic::refusal::{Refusal, RefusalCause};
use crate::traffic::worker::Worker;

/// Returns the refusal of a request that was not admitted to a slot.
pub(super) fn admission_refusal(refusal: gate::Refusal) -> Refusal {
    let cause = match refusal.reason {
        Reason::Limited => RefusalCause::Limited,
        _ => RefusalCause::Full,
    };
    let error = match refusal.reason {
        Reason::Expired => "the deadline passed before dispatch",
        Reason::TooLate => "no slot becomes free within the deadline",
        Reason::Full => "all slots and the queue of the server are taken",
        Reason::BeyondShare => "the workspace has had more than its share of the server",
        Reason::Displaced => "more important requests take the slots until the deadline",
        Reason::Limited => "the server states that it accepts no more requests a second",
        Reason::Closed => return Refusal::stale("the server takes no new work"),
    };
    let seconds = u32::try_from(refusal.retry_after.as_secs()).unwrap_or(u32::MAX);
    let retry_after = Some(seconds.saturating_add(1).min(60));
    let wait = Some(refusal.retry_after);
    Refusal { cause, retry_after, wait, ..Refusal::not_run(error) }
}

/// Records why a request that was to wait for a slot got none.
pub(super) fn log_refusal(
    worker: &Worker,
    server: &Server,
    server_request: &ServerRequest,
    refusal: &gate::Refusal,
    waited: Duration,
) {
    let reason = match refusal.reason {
        Reason::Expired => "expired",
        Reason::TooLate => "late",
        Reason::Full => "full",
        Reason::BeyondShare => "beyond-share",
        Reason::Displaced => "displaced",
        Reason::Limited => "server-limit",
        Reason::Closed => "closed",
    };
    let shared = &worker.shared;
    let dialect = shared.interface.dialect();
    let headers = &server_request.request.headers;
    shared.metrics.count_admission_refusal(&server.service, reason);
    tracing::info!(
        event = "admission-refused",
        request = request_id(dialect, headers),
        server = server.id,
        reason,
        rank = server_request.importance.rank,
        workspace = fields::text(headers, dialect.workspace),
        call = server_request.is_call,
        waited_ms = millis(waited),
        retry_ms = millis(refusal.retry_after)
    );
}

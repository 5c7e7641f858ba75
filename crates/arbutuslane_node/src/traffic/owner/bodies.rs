//! The bound on the request bytes that a server is given at a time.

use std::time::Duration;

use ntex::http::StatusCode;

use arbutuslane_limit::places::Place;

use super::ServerRequest;
use crate::announce::Server;
use crate::metrics::count;
use crate::traffic::body_admission::{BodyPermit, Denied};
use crate::traffic::client::Upload;
use crate::traffic::refusal::{Refusal, RefusalCause};
use crate::traffic::worker::Worker;

/// How long a request waits that another server may run: the time that it takes to forward it
/// there.
const FORWARDING_TIME: Duration = Duration::from_millis(5);

/// When a request may be sent again that was refused because of the bodies that its server has.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Waits until the server may be given the body of the request, if `may_wait` until its deadline.
/// Returns `None` if nothing bounds the body.
pub(super) async fn enter(
    worker: &Worker,
    server: &Server,
    server_request: &ServerRequest,
    may_wait: bool,
) -> Result<Option<BodyPermit>, Refusal> {
    let length = server_request.request.upload.length();
    let Some(bodies) = server.bodies.as_ref().filter(|_| length != Some(0)) else {
        return Ok(None);
    };
    let limit = match may_wait {
        true => server_request.deadline.remaining(worker.shared.clock.now()),
        false => FORWARDING_TIME,
    };
    match bodies.enter(length, (server_request.importance.rank, server_request.due), limit).await {
        Ok(permit) => Ok(Some(permit)),
        Err(Denied::Full) => {
            count(&worker.shared.metrics.refused_by_server_bodies);
            Err(refusal())
        }
        Err(Denied::TooLarge { max_bytes }) => {
            count(&worker.shared.metrics.refused_by_server_bodies);
            let error = format!("request body exceeds the {max_bytes} bytes of the server");
            let remedy = "send a smaller body or raise `server_body_mb` of the nodes";
            Err(Refusal::rejected(StatusCode::PAYLOAD_TOO_LARGE, &error, remedy))
        }
    }
}

/// Returns the refusal of a request whose body would exceed what its server may have.
pub(super) fn refusal() -> Refusal {
    let retry_after = u32::try_from(RETRY_AFTER.as_secs()).ok();
    let error = "the server has as many bytes of request bodies as it may have";
    let wait = Some(RETRY_AFTER);
    Refusal { cause: RefusalCause::Full, retry_after, wait, ..Refusal::not_run(error) }
}

/// Takes a place at `server` for a body that is streamed from its sender, who may take its time.
/// Other requests keep half of the slots. Returns `None` for a body that this node holds.
pub(super) fn enter_stream(server: &Server, upload: &Upload) -> Result<Option<Place>, Refusal> {
    if !matches!(upload, Upload::Stream(_)) {
        return Ok(None);
    }
    let (_, _, slots) = server.admission.occupancy();
    let limit = (slots as usize / 2).max(1);
    server.streams.take_below(limit).map(Some).ok_or_else(refusal)
}

//! Reads the request bodies of callers and of other nodes.

use std::rc::Rc;
use std::time::Duration;

use ntex::http::{Payload, StatusCode};
use ntex::time::timeout_checked;

use arbutuslane_listen::bodies::IncomingBody;
use arbutuslane_listen::connections::{Request as CountedRequest, unless_given_way};
use arbutuslane_record::strike::REQUEST_BODY_BYTES;

use crate::metrics::count;
use crate::shared::Shared;
use crate::timeout::{Elapsed, within};

use super::client::{HeldBody, Upload};
use super::refusal::Refusal;
use super::relay;

/// The most bytes of a body that are read although its request has been refused.
const MAX_DISCARDED_BYTES: usize = 1 << 20;

/// The longest time in which a body is read although its request has been refused.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// What a request body may be.
#[derive(Debug, Clone, Copy)]
pub(super) struct Bounds<'a> {
    /// The maximum size in bytes.
    pub(super) limit: u64,
    /// The size that the sender stated, if it did.
    pub(super) length: Option<u64>,
    /// The time in which the body has to arrive.
    pub(super) time: Duration,
    /// The request on its connection, which may have to give way to another one meanwhile.
    pub(super) counted: Option<&'a CountedRequest>,
}

/// Why a body was not read.
enum ReadError {
    TooLarge,
    /// The sender closed the connection, sent too few bytes or framed them wrongly.
    Incomplete,
    /// The memory or the connection is needed for other requests.
    GaveWay,
}

/// Holds a body in the memory of the node, so that a slow sender occupies no slot of a server and the body can be
/// sent again. Streams the rest of the body when the memory is used up.
///
/// # Errors
///
/// Refuses a body that is larger than its limit, differs from its stated length or does not arrive
/// in time.
pub(super) async fn read_upload(
    shared: &Shared,
    mut payload: Payload,
    bounds: Bounds<'_>,
) -> Result<Upload, Refusal> {
    if bounds.length.is_some_and(|length| length > bounds.limit) {
        return Err(body_too_large(bounds.limit));
    }
    if matches!(payload, Payload::None) {
        return Ok(Upload::Empty);
    }
    let reading = unless_given_way(bounds.counted, hold(shared, &mut payload, bounds));
    let held = match within(bounds.time, reading).await {
        Ok(Ok(held)) => held,
        // The connection itself is needed for others.
        Ok(Err(_)) => return Err(gave_way()),
        Err(Elapsed) => return Err(late_body()),
    };
    let refusal = match held {
        Ok(upload) => {
            if matches!(upload, Upload::Stream(_)) {
                count(&shared.metrics.streamed_bodies);
            }
            return Ok(upload);
        }
        Err(ReadError::Incomplete) => return Err(incomplete_body()),
        Err(ReadError::TooLarge) => body_too_large(bounds.limit),
        Err(ReadError::GaveWay) => gave_way(),
    };
    discard(&mut payload).await;
    Err(refusal)
}

/// Reads the rest of a body whose request is refused.
///
/// A connection that is closed with unread bytes is reset, and the sender may then lose the refusal.
pub(super) async fn discard(payload: &mut Payload) {
    let reading = async {
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES
            && let Some(Ok(chunk)) = payload.recv().await
        {
            discarded += chunk.len();
        }
    };
    // After the limits, the refusal is sent as it is.
    let _ = timeout_checked(DISCARD_TIMEOUT, reading).await;
}

/// Accepts a request whose head and body have been received: from now on its connection does not
/// give way to another one.
///
/// # Errors
///
/// Refuses the request if the connection has given way before.
pub(super) fn accept(counted: Option<&CountedRequest>) -> Result<(), Refusal> {
    counted.map_or(Ok(()), |counted| counted.accept().map_err(|_| gave_way()))
}

/// Reads a body until it ends or the memory is used up, unless it has to give way to a smaller one.
async fn hold(
    shared: &Shared,
    payload: &mut Payload,
    bounds: Bounds<'_>,
) -> Result<Upload, ReadError> {
    // Dropped after the bytes, so that others wake when the memory is free.
    let incoming = shared.bodies.begin();
    let held = incoming.unless_given_way(hold_in(shared, &incoming, payload, bounds)).await;
    held.unwrap_or(Err(ReadError::GaveWay))
}

/// Reads a body until it ends or the memory is used up. The bytes that identify the request are
/// read in any case.
async fn hold_in(
    shared: &Shared,
    incoming: &IncomingBody,
    payload: &mut Payload,
    bounds: Bounds<'_>,
) -> Result<Upload, ReadError> {
    let mut body = HeldBody::new(&shared.body_memory);
    while let Some(chunk) = payload.recv().await {
        let chunk = chunk.map_err(|_| ReadError::Incomplete)?;
        if (body.len() + chunk.len()) as u64 > bounds.limit {
            return Err(ReadError::TooLarge);
        }
        if push(shared, incoming, &mut body, &chunk).await {
            continue;
        }
        let place = shared.streams.take().ok_or(ReadError::GaveWay)?;
        body.push_unreserved(&chunk);
        if body.len() >= REQUEST_BODY_BYTES {
            let rest = std::mem::take(payload);
            return Ok(Upload::stream(body, rest, bounds.length, bounds.limit, place));
        }
    }
    match bounds.length.is_none_or(|length| length == body.len() as u64) {
        true => Ok(Upload::Held(Rc::new(body))),
        false => Err(ReadError::Incomplete),
    }
}

/// Appends `chunk` to `body`. Returns false if the memory is used up and no larger body gives way.
async fn push(shared: &Shared, incoming: &IncomingBody, body: &mut HeldBody, chunk: &[u8]) -> bool {
    while !body.push(chunk) {
        relay::cut_slowest(shared);
        if !incoming.make_room(body.len() + chunk.len()).await {
            return false;
        }
    }
    incoming.record(body.len());
    true
}

/// Returns the refusal of a request that is refused so that others can be served.
pub(super) fn gave_way() -> Refusal {
    Refusal {
        try_other_server: false,
        ..Refusal::not_run("the memory and the connections of this node are needed for others")
    }
}

fn body_too_large(limit: u64) -> Refusal {
    let error = format!("request body exceeds the {limit} bytes that the service allows");
    let remedy = "send a smaller body or raise the limit in the catalogue";
    Refusal::rejected(StatusCode::PAYLOAD_TOO_LARGE, &error, remedy)
}

fn incomplete_body() -> Refusal {
    let remedy = "send as many bytes as the request states, in valid chunks";
    Refusal::rejected(StatusCode::BAD_REQUEST, "request body is incomplete", remedy)
}

fn late_body() -> Refusal {
    let remedy = "send the complete body within the deadline";
    let error = "request body did not arrive within the deadline";
    Refusal::rejected(StatusCode::REQUEST_TIMEOUT, error, remedy)
}

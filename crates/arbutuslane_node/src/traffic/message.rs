//! Receives the messages that peers, servers and operators send to the node itself.

use std::time::Duration;

use ntex::http::{Request, Response};

use arbutuslane_listen::connections::Request as CountedRequest;
use arbutuslane_listen::receive::{self, Bounds, Error, Received};

use crate::admin;
use crate::shared::Shared;

use super::fields;
use super::intake;

/// The timeout for receiving the body of a message.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Receives the body of `request`, at most `limit` bytes.
///
/// # Errors
///
/// Returns the response to a body that is too large, incomplete or late, or that has to give way to
/// others.
pub(super) async fn receive(
    shared: &Shared,
    request: &mut Request,
    counted: Option<&CountedRequest>,
    limit: usize,
) -> Result<Received, Response> {
    let mut payload = request.take_payload();
    let length = fields::content_length(request.headers());
    let bounds = Bounds { limit, length, time: BODY_TIMEOUT };
    let received = receive::receive(&shared.message_bodies, &mut payload, counted, bounds).await;
    let error = match received {
        Ok(received) => return Ok(received),
        Err(error) => error,
    };
    if matches!(error, Error::TooLarge) {
        intake::discard(&mut payload).await;
    }
    let remedy = match error {
        Error::TooLarge => "send a smaller body",
        Error::Incomplete(_) => "send the complete body",
        Error::Late => "send the body within 5 s",
        Error::GaveWay => "send the message again",
    };
    Err(admin::refuse(error.status(), &error.to_string(), remedy))
}

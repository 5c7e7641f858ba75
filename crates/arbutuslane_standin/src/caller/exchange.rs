//! One request and the check of its response.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::Client;
use ntex::client::error::{ClientError, ConnectError};

use arbutuslane_core::hash;
use arbutuslane_wire::header;

use crate::content;

use super::Settings;

/// A request that the caller is about to send.
#[derive(Debug, Clone)]
pub(super) struct Planned {
    /// The kind of request.
    pub(super) kind: &'static str,
    /// The path.
    pub(super) path: String,
    /// The name under which the response is recognized.
    pub(super) name: String,
    /// The body, empty for lookups and downloads.
    pub(super) body: Vec<u8>,
    /// The idempotency key of a booking.
    pub(super) key: Option<String>,
}

/// What became of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Ending {
    /// A complete response came.
    Complete {
        /// Its status.
        status: u16,
        /// The outcome that the fleet stated.
        outcome: String,
        /// Whether it is the response to this request.
        own: bool,
    },
    /// A response broke off.
    Broken,
    /// No response head came.
    Unanswered,
    /// No connection was made.
    Unconnected,
    /// The caller gave up at its deadline.
    GivenUp,
}

/// Sends `planned` to the node at `address` and checks the response.
pub(super) async fn send(
    client: &Client,
    settings: &Settings,
    address: SocketAddr,
    planned: &Planned,
) -> Ending {
    let sending = send_within(client, settings, address, planned);
    // The fleet answers at the deadline; a little later the caller no longer waits.
    let limit = settings.deadline + Duration::from_secs(1);
    ntex::time::timeout_checked(limit, sending).await.unwrap_or(Ending::GivenUp)
}

async fn send_within(
    client: &Client,
    settings: &Settings,
    address: SocketAddr,
    planned: &Planned,
) -> Ending {
    let url = format!("http://{address}{}", planned.path);
    let mut request = if planned.key.is_some() { client.post(url) } else { client.get(url) };
    request = request
        .set_header(content::REQUEST, &*planned.name)
        .set_header(header::DEADLINE_MS, settings.deadline.as_millis().to_string())
        .timeout(settings.deadline + Duration::from_secs(1));
    if let Some(host) = &settings.host {
        request = request.set_header("host", &**host);
    }
    if let Some(key) = &planned.key {
        request = request.set_header(header::IDEMPOTENCY_KEY, &**key);
    }
    let sent = if planned.body.is_empty() {
        request.send().await
    } else {
        request.send_body(planned.body.clone()).await
    };
    let response = match sent {
        Ok(response) => response,
        Err(ClientError::Connect(ConnectError::Disconnected(_))) => return Ending::Unanswered,
        Err(ClientError::Connect(_)) => return Ending::Unconnected,
        Err(_) => return Ending::Unanswered,
    };
    let status = response.status().as_u16();
    let text = |name: &str| {
        response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_string)
    };
    let outcome = text(header::OUTCOME).unwrap_or_else(|| "none".to_string());
    let answered = outcome == header::OUTCOME_ANSWERED && response.status().is_success();
    let Ok(body) = response.body().limit(1 << 30).await else { return Ending::Broken };
    let own = !answered || belongs(settings, planned, &body);
    Ending::Complete { status, outcome, own }
}

/// Returns whether `body` is the complete response to `planned`.
fn belongs(settings: &Settings, planned: &Planned, body: &[u8]) -> bool {
    if planned.kind == "download" {
        let length = usize::try_from(settings.download_bytes).unwrap_or(usize::MAX);
        return body == content::bytes(&planned.name, 0, length);
    }
    let Ok(done) = serde_json::from_slice::<serde_json::Value>(body) else { return false };
    let hash = format!("{:016x}", hash::of_bytes(&planned.body));
    done["request"] == planned.name.as_str()
        && done["body_bytes"] == planned.body.len()
        && done["body_hash"] == hash.as_str()
}

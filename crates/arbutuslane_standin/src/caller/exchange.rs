//! Sends one request and checks its response.

use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::Client;
use ntex::client::error::{ClientError, ConnectError};

use arbutuslane_core::hash;
use arbutuslane_wire::header;

use crate::content;
use crate::record::{self, Fit};

use super::Settings;

/// A request that the caller is about to send.
#[derive(Debug, Clone)]
pub(super) struct PlannedRequest {
    /// `lookup`, `booking` or `download`.
    pub(super) kind: &'static str,
    /// The path, with the query.
    pub(super) path: String,
    /// The name of the request, by which the caller recognizes its response.
    pub(super) name: String,
    /// The body, empty for lookups and downloads.
    pub(super) body: Vec<u8>,
    /// The idempotency key of a booking.
    pub(super) key: Option<String>,
}

/// The result of one exchange with a node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ExchangeResult {
    /// A complete response arrived.
    Complete {
        /// The status code.
        status: u16,
        /// The outcome that the fleet stated in a header, or `none`.
        outcome: String,
        /// Whether the body is that of this request.
        fit: Fit,
        /// The start of the body, unless a server answered the request.
        note: String,
    },
    /// The response body could not be read to its end.
    Broken,
    /// No response head arrived.
    Unanswered,
    /// No connection could be established.
    Unconnected,
    /// The caller gave up after its deadline.
    GivenUp,
}

/// Sends `planned` to the node at `address` and checks the response.
pub(super) async fn send(
    client: &Client,
    settings: &Settings,
    address: SocketAddr,
    planned: &PlannedRequest,
) -> ExchangeResult {
    let sending = send_and_check(client, settings, address, planned);
    // The fleet responds by the deadline; the caller waits a second longer.
    let timeout = settings.deadline + Duration::from_secs(1);
    ntex::time::timeout_checked(timeout, sending).await.unwrap_or(ExchangeResult::GivenUp)
}

/// Sends `planned` and checks its response, however long its body takes.
async fn send_and_check(
    client: &Client,
    settings: &Settings,
    address: SocketAddr,
    planned: &PlannedRequest,
) -> ExchangeResult {
    let url = format!("http://{address}{}", planned.path);
    let mut request = if planned.key.is_some() { client.post(url) } else { client.get(url) };
    request = request
        .set_header(content::REQUEST_HEADER, &*planned.name)
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
        // The client reports a refused connection and one that closed later as the same error.
        Err(ClientError::Connect(ConnectError::Disconnected(cause))) => {
            let refused =
                cause.is_some_and(|cause| cause.kind() == std::io::ErrorKind::ConnectionRefused);
            return if refused { ExchangeResult::Unconnected } else { ExchangeResult::Unanswered };
        }
        Err(ClientError::Connect(_)) => return ExchangeResult::Unconnected,
        Err(_) => return ExchangeResult::Unanswered,
    };
    let status = response.status().as_u16();
    let field = |name: &str| {
        response.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_string)
    };
    let outcome = field(header::OUTCOME).unwrap_or_else(|| "none".to_string());
    let is_answered = outcome == header::OUTCOME_ANSWERED && response.status().is_success();
    let Ok(body) = response.body().limit(1 << 30).await else { return ExchangeResult::Broken };
    let fit = if is_answered { check_body(settings, planned, &body) } else { Fit::Own };
    let note = if is_answered { String::new() } else { body_excerpt(&body) };
    ExchangeResult::Complete { status, outcome, fit, note }
}

/// Returns the start of `body`, which is enough to distinguish refusals in a record.
fn body_excerpt(body: &[u8]) -> String {
    String::from_utf8_lossy(&body[..body.len().min(160)]).into_owned()
}

/// Compares `body` with the expected response to `planned`.
fn check_body(settings: &Settings, planned: &PlannedRequest, body: &[u8]) -> Fit {
    if planned.kind == "download" {
        let length = usize::try_from(settings.download_bytes).unwrap_or(usize::MAX);
        let whole = content::bytes(&planned.name, 0, length);
        return match whole.strip_prefix(body) {
            Some([]) => Fit::Own,
            Some(_) => Fit::Truncated,
            None => Fit::Foreign,
        };
    }
    let Ok(done) = serde_json::from_slice::<serde_json::Value>(body) else {
        return Fit::Truncated;
    };
    let hash = format!("{:016x}", hash::of_bytes(&planned.body));
    // A resend may receive the stored response of an earlier attempt.
    let is_own = done["request"].as_str().map(record::base) == Some(record::base(&planned.name))
        && done["body_bytes"] == planned.body.len()
        && done["body_hash"] == hash.as_str();
    if is_own { Fit::Own } else { Fit::Foreign }
}

impl ExchangeResult {
    /// Returns the stated outcome, or the name of the failure when no complete response arrived.
    pub(super) fn name(&self) -> &str {
        match self {
            Self::Complete { outcome, .. } => outcome,
            Self::Broken => "broken",
            Self::Unanswered => "unanswered",
            Self::Unconnected => "unconnected",
            Self::GivenUp => "given-up",
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against counting a truncated response, or that of another request, as correct.
    #[test]
    fn fit_short_foreign_own() {
        let settings = Settings { download_bytes: 64, ..Settings::default() };
        let planned = PlannedRequest {
            kind: "download",
            path: String::new(),
            name: "1-2".to_string(),
            body: Vec::new(),
            key: None,
        };
        let whole = content::bytes("1-2", 0, 64);
        assert_eq!(check_body(&settings, &planned, &whole), Fit::Own);
        assert_eq!(check_body(&settings, &planned, &whole[..63]), Fit::Truncated);
        assert_eq!(check_body(&settings, &planned, &content::bytes("1-3", 0, 64)), Fit::Foreign);
        let lookup = PlannedRequest { kind: "lookup", name: "1-2~1".to_string(), ..planned };
        let hash = format!("{:016x}", hash::of_bytes(b""));
        let text = |request: &str| {
            format!(r#"{{"request":"{request}","body_bytes":0,"body_hash":"{hash}"}}"#)
        };
        assert_eq!(check_body(&settings, &lookup, text("1-2").as_bytes()), Fit::Own);
        assert_eq!(check_body(&settings, &lookup, text("1-20").as_bytes()), Fit::Foreign);
        assert_eq!(check_body(&settings, &lookup, &text("1-2").as_bytes()[..9]), Fit::Truncated);
    }
}

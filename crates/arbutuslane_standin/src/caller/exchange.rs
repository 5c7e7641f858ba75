//! One request and the check of its response.

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
        fit: Fit,
        /// The beginning of the body where no server answered.
        note: String,
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
        // The client reports a refused connection and one that broke later in the same way.
        Err(ClientError::Connect(ConnectError::Disconnected(cause))) => {
            let refused =
                cause.is_some_and(|cause| cause.kind() == std::io::ErrorKind::ConnectionRefused);
            return if refused { Ending::Unconnected } else { Ending::Unanswered };
        }
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
    let fit = if answered { fit(settings, planned, &body) } else { Fit::Own };
    let note = if answered { String::new() } else { beginning(&body) };
    Ending::Complete { status, outcome, fit, note }
}

/// Returns as much of `body` as a record needs to tell refusals apart.
fn beginning(body: &[u8]) -> String {
    String::from_utf8_lossy(&body[..body.len().min(160)]).into_owned()
}

/// Returns how `body` fits `planned`.
fn fit(settings: &Settings, planned: &Planned, body: &[u8]) -> Fit {
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
    // A resend may get the stored response of an earlier attempt.
    let own = done["request"].as_str().map(record::base) == Some(record::base(&planned.name))
        && done["body_bytes"] == planned.body.len()
        && done["body_hash"] == hash.as_str();
    if own { Fit::Own } else { Fit::Foreign }
}

impl Ending {
    /// Returns the stated outcome, or what the caller saw instead of a response.
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

    /// Guards against a scenario that counts a shortened or foreign response as a correct one.
    #[test]
    fn fit_short_foreign_own() {
        let settings = Settings { download_bytes: 64, ..Settings::default() };
        let planned = Planned {
            kind: "download",
            path: String::new(),
            name: "1-2".to_string(),
            body: Vec::new(),
            key: None,
        };
        let whole = content::bytes("1-2", 0, 64);
        assert_eq!(fit(&settings, &planned, &whole), Fit::Own);
        assert_eq!(fit(&settings, &planned, &whole[..63]), Fit::Truncated);
        assert_eq!(fit(&settings, &planned, &content::bytes("1-3", 0, 64)), Fit::Foreign);
        let lookup = Planned { kind: "lookup", name: "1-2~1".to_string(), ..planned };
        let hash = format!("{:016x}", hash::of_bytes(b""));
        let text = |request: &str| {
            format!(r#"{{"request":"{request}","body_bytes":0,"body_hash":"{hash}"}}"#)
        };
        assert_eq!(fit(&settings, &lookup, text("1-2").as_bytes()), Fit::Own);
        assert_eq!(fit(&settings, &lookup, text("1-20").as_bytes()), Fit::Foreign);
        assert_eq!(fit(&settings, &lookup, &text("1-2").as_bytes()[..9]), Fit::Truncated);
    }
}

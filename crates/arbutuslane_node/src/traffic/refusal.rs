//! Final responses of the fleet itself.

use ntex::http::{Response, StatusCode};

use arbutuslane_wire::{header, operator};

use super::client::Failure;

/// Why a request has no response of a backend server.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    /// Whether the request can have run.
    pub(crate) outcome: Outcome,
    /// The status for the caller.
    pub(crate) status: StatusCode,
    /// What is wrong.
    pub(crate) error: String,
    /// What the caller can do.
    pub(crate) remedy: &'static str,
    /// The seconds after which a resend may succeed.
    pub(crate) retry_after: Option<u32>,
    /// Whether another server may succeed where this one did not.
    pub(crate) elsewhere: bool,
    /// What the refusal says about the choice of the server.
    pub(crate) choice: Choice,
}

/// What a refusal says about the choice of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Choice {
    /// Nothing.
    Sound,
    /// The entry chose by an outdated list; a retry costs no budget, because the refusal says
    /// nothing about the load.
    Stale,
    /// The server itself sheds load.
    Shed,
    /// The owner's queue for the server cannot take the request.
    Full,
    /// The server fails most requests; it takes the request when no other server does.
    Suspect,
    /// The server was silent for several times the usual latency.
    Silent,
    /// No other server may be tried: the request has crashed one.
    Final,
}

/// Whether a request without a response of a backend server can have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Refusal {
    /// Returns a refusal of a request that did not run and that another server may run.
    pub(crate) fn not_run(error: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::NotRun,
            status: StatusCode::SERVICE_UNAVAILABLE,
            error: error.into(),
            remedy: "send the request again after the stated time",
            retry_after: Some(1),
            elsewhere: true,
            choice: Choice::Sound,
        }
    }

    /// Returns a refusal of a request whose server has moved, left or begun to drain.
    pub(crate) fn stale(error: impl Into<String>) -> Self {
        Self { choice: Choice::Stale, ..Self::not_run(error) }
    }

    /// Returns a refusal of a request that a server that does not fail should run.
    pub(crate) fn suspect() -> Self {
        Self { choice: Choice::Suspect, ..Self::not_run("the server fails most requests") }
    }

    /// Returns a refusal of a request that did not run and that no server would run.
    pub(crate) fn rejected(status: StatusCode, error: &str, remedy: &'static str) -> Self {
        Self {
            outcome: Outcome::NotRun,
            status,
            error: error.to_string(),
            remedy,
            retry_after: None,
            elsewhere: false,
            choice: Choice::Sound,
        }
    }

    /// Returns the report that a request may have run.
    pub(crate) fn unknown(status: StatusCode, error: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            status,
            error: error.into(),
            remedy: "send the request again only under the same idempotency key",
            retry_after: Some(1),
            elsewhere: true,
            choice: Choice::Sound,
        }
    }

    /// Returns the refusal that follows from a failed exchange.
    pub(crate) fn from_failure(failure: &Failure) -> Self {
        if matches!(failure, Failure::Left) {
            return Self::stale(failure.to_string());
        }
        if !failure.sent() {
            // No server was asked, so another attempt adds no work.
            return Self::stale(failure.to_string());
        }
        match failure {
            Failure::Deadline | Failure::Stalled => {
                Self::unknown(StatusCode::GATEWAY_TIMEOUT, failure.to_string())
            }
            // The server may have begun before the body exceeded the limit.
            Failure::BodyTooLarge => Self {
                elsewhere: false,
                ..Self::unknown(StatusCode::PAYLOAD_TOO_LARGE, failure.to_string())
            },
            Failure::CallerGone => Self {
                elsewhere: false,
                ..Self::unknown(StatusCode::BAD_REQUEST, failure.to_string())
            },
            _ => Self::unknown(StatusCode::BAD_GATEWAY, failure.to_string()),
        }
    }

    /// Returns the reason as one of a few words, for metrics.
    pub(crate) fn reason(&self) -> &'static str {
        match self.choice {
            Choice::Stale => return "server-gone",
            Choice::Shed => return "shed-by-server",
            Choice::Full => return "queue-full",
            Choice::Suspect => return "suspect",
            Choice::Silent => return "silent",
            Choice::Final => return "crashed-server",
            Choice::Sound => {}
        }
        match (self.outcome, self.status) {
            (_, StatusCode::TOO_MANY_REQUESTS) => "rate-limit",
            (_, StatusCode::NOT_FOUND) => "no-route",
            (_, StatusCode::PAYLOAD_TOO_LARGE) => "body-too-large",
            (_, StatusCode::GATEWAY_TIMEOUT) => "deadline",
            (_, StatusCode::BAD_GATEWAY) => "broke-off",
            (Outcome::NotRun, StatusCode::SERVICE_UNAVAILABLE) => "unavailable",
            _ => "rejected",
        }
    }

    /// Returns the response for a caller or an entry.
    pub(crate) fn response(&self) -> Response {
        let outcome = match self.outcome {
            Outcome::NotRun => header::OUTCOME_NOT_RUN,
            Outcome::Unknown => header::OUTCOME_UNKNOWN,
        };
        let mut builder = Response::build(self.status);
        builder.header(header::OUTCOME, outcome);
        if let Some(seconds) = self.retry_after {
            builder.header("retry-after", seconds.to_string());
        }
        match self.choice {
            Choice::Sound | Choice::Silent => {}
            Choice::Stale => {
                builder.header(header::REFUSAL, header::REFUSAL_STALE);
            }
            Choice::Shed => {
                builder.header(header::REFUSAL, header::REFUSAL_SHED);
            }
            Choice::Full => {
                builder.header(header::REFUSAL, header::REFUSAL_FULL);
            }
            Choice::Suspect => {
                builder.header(header::REFUSAL, header::REFUSAL_SUSPECT);
            }
            Choice::Final => {
                builder.header(header::REFUSAL, header::REFUSAL_FINAL);
            }
        }
        builder
            .json(&operator::Refusal { error: self.error.clone(), remedy: self.remedy.to_string() })
    }
}

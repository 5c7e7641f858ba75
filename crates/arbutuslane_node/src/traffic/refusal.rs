//! Responses that the fleet itself generates instead of a backend server.

use std::time::Duration;

use ntex::http::header::WWW_AUTHENTICATE;
use ntex::http::{Response, StatusCode};

use arbutuslane_wire::{header, operator};

use super::client::Failure;

/// The reason why a request has no response from a backend server.
#[derive(Debug, Clone)]
pub(crate) struct Refusal {
    /// Whether the request may have run.
    pub(crate) outcome: Outcome,
    /// The status for the caller.
    pub(crate) status: StatusCode,
    /// The error message.
    pub(crate) error: String,
    /// What the caller can do about the error.
    pub(crate) remedy: &'static str,
    /// The number of seconds after which a resend may succeed.
    pub(crate) retry_after: Option<u32>,
    /// Whether another server may succeed where this one failed.
    pub(crate) try_other_server: bool,
    /// The cause of the refusal.
    pub(crate) cause: RefusalCause,
    /// The predicted time until the server could take the request: until a slot is free, until its
    /// stated limit lets another request start, or until a suspect server is tried again.
    pub(crate) wait: Option<Duration>,
}

/// What a refusal says about the selected server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RefusalCause {
    /// The refusal says nothing about the server.
    Sound,
    /// The server list that the entry used is outdated. A retry is not charged to the budget,
    /// because the refusal says nothing about the load.
    Stale,
    /// The server itself sheds load.
    Shed,
    /// The owner's queue for the server cannot accept the request.
    Full,
    /// The server states that it accepts no more requests in a second.
    Limited,
    /// The server fails most requests. It accepts the request only if no other server does.
    Suspect,
    /// The fleet repeats too many requests to the service. The request was sent before.
    RepeatLimit,
    /// The server sent no response for several times the usual latency.
    Silent,
    /// The allowance of the request's workspace is used up.
    Allowance,
    /// The request may crash servers, so that few of its runs are tried at a time, and not here now.
    Trial,
    /// No other server may be tried, because the request has crashed one.
    Final,
}

/// Whether a request without a response from a backend server may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The request did not run.
    NotRun,
    /// The request may have run.
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
            try_other_server: true,
            cause: RefusalCause::Sound,
            wait: None,
        }
    }

    /// Returns a refusal of a request whose server has moved, left or started to drain.
    pub(crate) fn stale(error: impl Into<String>) -> Self {
        Self { cause: RefusalCause::Stale, ..Self::not_run(error) }
    }

    /// Returns a refusal of a request at a server that fails most requests; another server should
    /// run it.
    ///
    /// The server is tried again after `wait`.
    pub(crate) fn suspect(wait: Duration) -> Self {
        let refusal = Self::not_run("the server fails most requests");
        Self { cause: RefusalCause::Suspect, wait: Some(wait), ..refusal }
    }

    /// Returns a refusal of a request that may crash servers, while other runs of it are tried.
    pub(crate) fn trial() -> Self {
        let error =
            "this request may have crashed a server, and few of its runs are tried at a time";
        Self { cause: RefusalCause::Trial, ..Self::not_run(error) }
    }

    /// Returns a refusal of a repeated request beyond the limit on repeats.
    pub(crate) fn repeat_limit() -> Self {
        let refusal = Self::not_run("the fleet repeats too many requests to the service");
        Self { cause: RefusalCause::RepeatLimit, ..refusal }
    }

    /// Returns a refusal of a request that did not run and that no server would accept.
    pub(crate) fn rejected(status: StatusCode, error: &str, remedy: &'static str) -> Self {
        Self {
            outcome: Outcome::NotRun,
            status,
            error: error.to_string(),
            remedy,
            retry_after: None,
            try_other_server: false,
            cause: RefusalCause::Sound,
            wait: None,
        }
    }

    /// Returns a refusal of a request that may have run.
    pub(crate) fn unknown(status: StatusCode, error: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            status,
            error: error.into(),
            remedy: "send the request again only under the same idempotency key",
            retry_after: Some(1),
            try_other_server: true,
            cause: RefusalCause::Sound,
            wait: None,
        }
    }

    /// Returns the refusal of a request that has no response when the time of a planned stop is over.
    pub(crate) fn unanswered_at_stop() -> Self {
        let error = "this node stopped before the response arrived";
        Self { try_other_server: false, ..Self::unknown(StatusCode::BAD_GATEWAY, error) }
    }

    /// Returns the refusal for a failed exchange.
    pub(crate) fn from_failure(failure: &Failure) -> Self {
        if matches!(failure, Failure::Expired) {
            return Self::not_run(failure.to_string());
        }
        if !failure.sent() {
            // The server has not received the request, so another attempt adds no load to it.
            return Self::stale(failure.to_string());
        }
        match failure {
            Failure::Deadline | Failure::Stalled => {
                Self::unknown(StatusCode::GATEWAY_TIMEOUT, failure.to_string())
            }
            // The server may have started to run the request before the body exceeded the limit.
            Failure::BodyTooLarge => Self {
                try_other_server: false,
                ..Self::unknown(StatusCode::PAYLOAD_TOO_LARGE, failure.to_string())
            },
            Failure::CallerGone => Self {
                try_other_server: false,
                ..Self::unknown(StatusCode::BAD_REQUEST, failure.to_string())
            },
            _ => Self::unknown(StatusCode::BAD_GATEWAY, failure.to_string()),
        }
    }

    /// Returns the reason as a metric label.
    pub(crate) fn reason(&self) -> &'static str {
        match self.cause {
            RefusalCause::Stale => return "server-gone",
            RefusalCause::Shed => return "shed-by-server",
            RefusalCause::Full => return "queue-full",
            RefusalCause::Limited => return "server-limit",
            RefusalCause::Suspect => return "suspect",
            RefusalCause::RepeatLimit => return "repeat-limit",
            RefusalCause::Silent => return "silent",
            RefusalCause::Trial => return "trial",
            RefusalCause::Final => return "crashed-server",
            RefusalCause::Allowance => return "allowance",
            RefusalCause::Sound => {}
        }
        match (self.outcome, self.status) {
            (_, StatusCode::TOO_MANY_REQUESTS) => "rate-limit",
            (_, StatusCode::UNAUTHORIZED) => "unknown-key",
            (_, StatusCode::NOT_FOUND) => "no-route",
            (_, StatusCode::PAYLOAD_TOO_LARGE) => "body-too-large",
            (_, StatusCode::GATEWAY_TIMEOUT) => "deadline",
            (_, StatusCode::BAD_GATEWAY) => "broke-off",
            (Outcome::NotRun, StatusCode::SERVICE_UNAVAILABLE) => "unavailable",
            _ => "rejected",
        }
    }

    /// Returns the response to a caller or an entry.
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
        if self.status == StatusCode::UNAUTHORIZED {
            builder.header(WWW_AUTHENTICATE, "Bearer");
        }
        if let Some(wait) = self.wait {
            builder.header(header::WAIT_MS, wait.as_millis().to_string());
        }
        match self.cause {
            RefusalCause::Sound | RefusalCause::Silent | RefusalCause::Allowance => {}
            RefusalCause::Stale => {
                builder.header(header::REFUSAL, header::REFUSAL_STALE);
            }
            RefusalCause::Shed => {
                builder.header(header::REFUSAL, header::REFUSAL_SHED);
            }
            RefusalCause::Full => {
                builder.header(header::REFUSAL, header::REFUSAL_FULL);
            }
            RefusalCause::Limited => {
                builder.header(header::REFUSAL, header::REFUSAL_LIMITED);
            }
            RefusalCause::Suspect => {
                builder.header(header::REFUSAL, header::REFUSAL_SUSPECT);
            }
            RefusalCause::RepeatLimit => {
                builder.header(header::REFUSAL, header::REFUSAL_REPEAT_LIMIT);
            }
            RefusalCause::Trial => {
                builder.header(header::REFUSAL, header::REFUSAL_TRIAL);
            }
            RefusalCause::Final => {
                builder.header(header::REFUSAL, header::REFUSAL_FINAL);
            }
        }
        builder
            .json(&operator::Refusal { error: self.error.clone(), remedy: self.remedy.to_string() })
    }
}

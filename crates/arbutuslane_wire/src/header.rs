//! Names and values of the HTTP headers that the fleet sets and reads.

/// Tells a caller what became of its request: one of the `OUTCOME_` values.
pub const OUTCOME: &str = "arbutuslane-outcome";

/// The whole answer of a backend server follows.
pub const OUTCOME_ANSWERED: &str = "answered";

/// The request did not run; it is safe to send it again.
pub const OUTCOME_NOT_RUN: &str = "not-run";

/// The request may have run; only a resend under the same idempotency key is safe.
pub const OUTCOME_UNKNOWN: &str = "unknown";

/// Identifies the exchange on one hop (32 hexadecimal digits); the answer echoes it.
pub const EXCHANGE: &str = "arbutuslane-exchange";

/// The milliseconds that remain for the request.
pub const DEADLINE_MS: &str = "arbutuslane-deadline-ms";

/// The backend server that the entry node chose.
pub const SERVER: &str = "arbutuslane-server";

/// The incarnation of that server.
pub const INCARNATION: &str = "arbutuslane-incarnation";

/// The class of the request.
pub const CLASS: &str = "arbutuslane-class";

/// The load of a backend server, on answers from its owner; see [`crate::load::Report`].
pub const LOAD: &str = "arbutuslane-load";

/// The peers' baseline of a service, on requests to an owner.
pub const BASELINE: &str = "arbutuslane-baseline";

/// Marks a request that an ejected server may run as a trial.
pub const TRIAL: &str = "arbutuslane-trial";

/// The shared secret between processes of the fleet.
pub const TOKEN: &str = "arbutuslane-token";

/// The caller's key under which a non-idempotent request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Tells a caller that the answer is the kept one of an earlier request with the same key.
pub const REPLAYED: &str = "arbutuslane-replayed";

/// The latency of the response head in microseconds, on responses from an owner.
pub const TOOK_US: &str = "arbutuslane-took-us";

/// Why an owner refused a request, on responses to an entry: one of the `REFUSAL_` values.
pub const REFUSAL: &str = "arbutuslane-refusal";

/// The entry chose the server by an outdated list.
pub const REFUSAL_STALE: &str = "stale";

/// The backend server itself sheds load.
pub const REFUSAL_SHED: &str = "shed";

/// The owner's queue for the backend server cannot take the request.
pub const REFUSAL_FULL: &str = "full";

/// The backend server fails most requests, and the entry may try another one first.
pub const REFUSAL_SUSPECT: &str = "suspect";

/// The rank of the request, 0 first, on requests to an owner.
pub const RANK: &str = "arbutuslane-rank";

/// The milliseconds for which the response is worth most, on requests to an owner.
pub const DUE_MS: &str = "arbutuslane-due-ms";

/// Marks a request that may be repeated if it fails, and that a suspect may therefore take as a trial.
pub const REPEATABLE: &str = "arbutuslane-repeatable";

/// Marks a request that a suspect must take, because no other server does.
pub const INSIST: &str = "arbutuslane-insist";

/// Tells apart the sources of baselines (16 hexadecimal digits), on requests to an owner.
pub const BASELINE_SOURCE: &str = "arbutuslane-baseline-source";

/// No other server may be tried, because the request has crashed one.
pub const REFUSAL_FINAL: &str = "final";

/// Tells requests apart that crash servers (16 hexadecimal digits), on requests to an owner.
pub const FINGERPRINT: &str = "arbutuslane-fingerprint";

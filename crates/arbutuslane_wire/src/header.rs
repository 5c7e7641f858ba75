//! Names and values of the HTTP headers that the fleet sets and reads.

/// The outcome of a request, on responses to callers: one of the `OUTCOME_` values.
pub const OUTCOME: &str = "arbutuslane-outcome";

/// The response is the complete response of a backend server.
pub const OUTCOME_ANSWERED: &str = "answered";

/// The request did not run; it is safe to send it again.
pub const OUTCOME_NOT_RUN: &str = "not-run";

/// The request may have run; only a resend under the same idempotency key is safe.
pub const OUTCOME_UNKNOWN: &str = "unknown";

/// The id of the exchange on one hop (32 hexadecimal digits); the response echoes it.
pub const EXCHANGE: &str = "arbutuslane-exchange";

/// The milliseconds that remain until the deadline of the request.
pub const DEADLINE_MS: &str = "arbutuslane-deadline-ms";

/// The backend server that the entry node chose.
pub const SERVER: &str = "arbutuslane-server";

/// The incarnation of that server.
pub const INCARNATION: &str = "arbutuslane-incarnation";

/// The class of the request: `idempotent`, `non-idempotent`, `download` or `upload`.
pub const CLASS: &str = "arbutuslane-class";

/// The load of a backend server, on responses from its owner; see [`crate::load::Report`].
pub const LOAD: &str = "arbutuslane-load";

/// The requests in a second that a backend server accepts from the whole fleet, a decimal number, on
/// responses from a server.
pub const SERVER_LIMIT: &str = "arbutuslane-server-limit";

/// The server leaves and accepts no new requests, on responses from a server.
pub const SERVER_LEAVING: &str = "arbutuslane-server-leaving";

/// The limit that a backend server last stated, on responses from its owner, and on requests to an
/// owner, which may have restarted since.
pub const LIMIT: &str = "arbutuslane-limit";

/// The entry's baseline of the other servers of the service, on requests to an owner.
pub const BASELINE: &str = "arbutuslane-baseline";

/// Marks a request that an ejected server may run as a trial.
pub const TRIAL: &str = "arbutuslane-trial";

/// Marks a forwarded request whose offer the owner has accepted.
pub const OFFERED: &str = "arbutuslane-offered";

/// Marks a forwarded request that adds to the repeats of its service.
pub const REPEATED: &str = "arbutuslane-repeated";

/// The request was sent to another server before, and may be refused as one repeat too many.
pub const REPEATED_RETRY: &str = "retry";

/// The request was caused by an admitted repeat.
pub const REPEATED_CONSEQUENCE: &str = "consequence";

/// The workspace whose API key a request carried, on requests to servers. The prefix differs from that
/// of the fields between nodes, which servers do not receive.
pub const WORKSPACE: &str = "x-arbutuslane-workspace";

/// The secret shared by the processes of the fleet.
pub const TOKEN: &str = "arbutuslane-token";

/// The caller's key under which a non-idempotent request runs at most once.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Marks a stored response of an earlier request with the same key, on responses to callers.
pub const REPLAYED: &str = "arbutuslane-replayed";

/// The microseconds until the head of the server's response arrived, on responses from an owner.
pub const LATENCY_US: &str = "arbutuslane-took-us";

/// Why an owner refused a request, on responses to an entry: one of the `REFUSAL_` values.
pub const REFUSAL: &str = "arbutuslane-refusal";

/// The entry chose the server from an outdated list.
pub const REFUSAL_STALE: &str = "stale";

/// The fleet repeats too many requests to the service.
pub const REFUSAL_REPEAT_LIMIT: &str = "repeat-limit";

/// The backend server itself sheds load.
pub const REFUSAL_SHED: &str = "shed";

/// The predicted milliseconds until the server could take the request, on refusals by an owner.
pub const WAIT_MS: &str = "arbutuslane-wait-ms";

/// The owner's queue for the backend server cannot accept the request.
pub const REFUSAL_FULL: &str = "full";

/// The backend server states that it accepts no more requests in a second.
pub const REFUSAL_LIMITED: &str = "limited";

/// The backend server fails most requests, and the entry may try another server first.
pub const REFUSAL_SUSPECT: &str = "suspect";

/// The priority of the request, on requests to an owner; 0 is served first.
pub const RANK: &str = "arbutuslane-rank";

/// Marks a request that a backend server sent while it ran another one, on requests to an owner: the hash
/// of the workspace of that other request (16 hexadecimal digits), 0 without one.
pub const CALL: &str = "arbutuslane-call";

/// The milliseconds until the response is due, on requests to an owner: what remains of the route's
/// objective, or of the deadline when that is sooner.
pub const DUE_MS: &str = "arbutuslane-due-ms";

/// Marks a request that may be repeated if it fails; a suspect server may therefore run it as a
/// trial.
pub const REPEATABLE: &str = "arbutuslane-repeatable";

/// Marks a request that a suspect server must run, because no other server accepts it.
pub const MUST_ACCEPT: &str = "arbutuslane-insist";

/// The id of the source of a baseline (16 hexadecimal digits), on requests to an owner.
pub const BASELINE_SOURCE: &str = "arbutuslane-baseline-source";

/// The request may crash servers, and this server or the fleet tries another such run now.
pub const REFUSAL_TRIAL: &str = "trial";

/// No other server may be tried, because the request has crashed one.
pub const REFUSAL_FINAL: &str = "final";

/// The identity of a request that may crash servers (32 hexadecimal digits), on requests to an owner.
pub const FINGERPRINT: &str = "arbutuslane-fingerprint";

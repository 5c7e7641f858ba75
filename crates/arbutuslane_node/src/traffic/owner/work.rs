//! A request for one backend server, as an entry forwards it.

use std::time::Duration;

use ntex::http::{self, StatusCode};

use arbutuslane_catalogue::entry::Class;
use arbutuslane_core::id::{Incarnation, ServerId, ServiceName};
use arbutuslane_core::time::Time;
use arbutuslane_health::peers::Summary;
use arbutuslane_limit::deadline::Deadline;
use arbutuslane_limit::gate::Arrival;
use arbutuslane_listen::connections::Request as CountedRequest;
use arbutuslane_record::prelude::Identity;
use arbutuslane_wire::header;

use super::{FORWARD, OFFER, Repeat, statement};
use crate::traffic::client::{Request, Upload};
use crate::traffic::intake::{self, Bounds};
use crate::traffic::refusal::Refusal;
use crate::traffic::worker::Worker;
use crate::traffic::workspace::{Importance, workspace_hash};
use crate::traffic::{deadline, fields};

/// A request for one backend server.
#[derive(Debug, Clone)]
pub(crate) struct ServerRequest {
    /// The service of the server.
    pub(crate) service: ServiceName,
    /// The server that the entry selected.
    pub(crate) server: ServerId,
    /// The incarnation of the server that the entry knows.
    pub(crate) incarnation: Incarnation,
    /// The class of the request.
    pub(crate) class: Class,
    /// The importance of the request to those who wait for it.
    pub(crate) importance: Importance,
    /// Whether a backend server sent the request while it ran another one.
    pub(crate) is_call: bool,
    /// The time until which the response has its full value.
    pub(crate) due: Time,
    /// Whether an ejected server may run the request as a trial.
    pub(crate) is_trial: bool,
    /// Whether the entry would retry the request on another server if it failed.
    pub(crate) retryable: bool,
    /// Whether the request may wait for a slot, and a server that fails most requests must accept
    /// it, because no other server accepts it.
    pub(crate) must_accept: bool,
    /// Whether the owner has accepted an offer of the request, so that its body was sent.
    pub(crate) is_offered: bool,
    /// Whether the request counts as a repeat.
    pub(crate) repeat: Repeat,
    /// The rate that the server stated in the last response that the entry received from it.
    pub(crate) known_limit: Option<f64>,
    /// The id of the entry thread and its summary of how the server's peers perform.
    pub(crate) summary: Option<(u64, Summary)>,
    /// The time after which the response is useless.
    pub(crate) deadline: Deadline,
    /// Identifies the request, to recognise those that crash servers.
    pub(crate) identity: Identity,
    /// The request with its end-to-end header fields.
    pub(crate) request: Request,
}

/// Receives a request that an entry forwarded.
///
/// The whole body is received before the request enters the queue of its server, so that a slow
/// link does not occupy a slot.
pub(super) async fn receive_request(
    worker: &Worker,
    incoming: &mut http::Request,
    counted: Option<&CountedRequest>,
) -> Result<ServerRequest, Refusal> {
    let mut server_request = parse_request(worker, incoming)?;
    let length = fields::content_length(incoming.headers());
    // The entry has already enforced the body limit of the service.
    let time = server_request.deadline.remaining(worker.shared.clock.now());
    let bounds = Bounds { limit: u64::MAX, length, time, counted };
    let payload = incoming.take_payload();
    server_request.request.upload = intake::read_upload(&worker.shared, payload, bounds).await?;
    intake::accept(counted)?;
    Ok(server_request)
}

/// Parses the head of a request that an entry forwards or offers.
pub(super) fn parse_request(
    worker: &Worker,
    incoming: &http::Request,
) -> Result<ServerRequest, Refusal> {
    let bad_request = |message: &str| {
        let remedy = "check that all nodes run compatible releases";
        Refusal::rejected(StatusCode::BAD_REQUEST, message, remedy)
    };
    let headers = incoming.headers();
    let server = fields::text(headers, header::SERVER)
        .ok_or_else(|| bad_request("the server header field is missing"))?;
    let incarnation = fields::text(headers, header::INCARNATION);
    let incarnation = incarnation.and_then(|text| text.parse().ok());
    let incarnation = incarnation
        .ok_or_else(|| bad_request("the incarnation header field is missing or invalid"))?;
    let class = fields::text(headers, header::CLASS).and_then(Class::from_name);
    let class = class.ok_or_else(|| bad_request("the class header field is missing or invalid"))?;
    let now = worker.shared.clock.now();
    let deadline = deadline::read(headers, Duration::ZERO, now);
    let rank = fields::text(headers, header::RANK).and_then(|text| text.parse().ok());
    let rank = rank.unwrap_or_else(|| Arrival::of_class(class, now, deadline).rank);
    let call = fields::text(headers, header::CALL);
    let workspace = match call {
        Some(workspace) => u64::from_str_radix(workspace, 16).unwrap_or_default(),
        None => workspace_hash(fields::text(headers, worker.shared.interface.dialect().workspace)),
    };
    let importance = Importance { rank, workspace };
    let is_call = call.is_some();
    let due = deadline::read_from(header::DUE_MS, headers, deadline.remaining(now), now);
    let due = now + due.remaining(now);
    let target = incoming.uri().path_and_query().map_or("/", |target| target.as_str());
    let target = target.strip_prefix(FORWARD).or_else(|| target.strip_prefix(OFFER));
    let target = target.filter(|target| target.starts_with('/'));
    let target = target
        .ok_or_else(|| bad_request("the path is not that of a forwarded request"))?
        .to_string();
    let source = fields::text(headers, header::BASELINE_SOURCE);
    let source = source.and_then(|text| u64::from_str_radix(text, 16).ok());
    let summary = fields::text(headers, header::BASELINE).and_then(Summary::parse);
    let summary = source.zip(summary);
    let server = server.to_string();
    let (method, headers) = (incoming.method().clone(), fields::end_to_end(headers));
    let request = Request { method, target, headers, upload: Upload::Empty };
    let is_trial = incoming.headers().contains_key(header::TRIAL);
    let retryable = incoming.headers().contains_key(header::REPEATABLE);
    let must_accept = incoming.headers().contains_key(header::MUST_ACCEPT);
    let repeat = match fields::text(incoming.headers(), header::REPEATED) {
        Some(header::REPEATED_RETRY) => Repeat::Retry,
        Some(_) => Repeat::Consequence,
        None => Repeat::First,
    };
    let is_offered = incoming.headers().contains_key(header::OFFERED);
    let known_limit =
        fields::text(incoming.headers(), header::LIMIT).and_then(statement::parse_limit);
    let identity = fields::text(incoming.headers(), header::FINGERPRINT);
    let identity = identity.and_then(|text| text.parse().ok()).unwrap_or_default();
    let service = String::new();
    Ok(ServerRequest {
        service,
        server,
        incarnation,
        class,
        importance,
        is_call,
        due,
        is_trial,
        retryable,
        must_accept,
        is_offered,
        repeat,
        known_limit,
        summary,
        deadline,
        identity,
        request,
    })
}

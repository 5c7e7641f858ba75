//! Serves requests of operators, nodes and the other control instances.

use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arbutuslane_core::time::millis;
use arbutuslane_event::metric::Text;
use arbutuslane_item::prelude::{Item, check};
use arbutuslane_listen::connections::{Connections, Request as CountedRequest};
use arbutuslane_listen::receive::{self, Bounds, Received};
use arbutuslane_wire::peer::{Answer, Message};
use arbutuslane_wire::{codec, header, operator, peer};
use ntex::client::Client;
use ntex::http::StatusCode;
use ntex::http::header::CONTENT_LENGTH;
use ntex::time::timeout_checked;
use ntex::web::{self, HttpRequest, HttpResponse};

use crate::gossip::GossipHandle;

use super::core::{Core, Step};
use super::interface::{OperatorFormat, OperatorRequest};
use super::kept::OfNode;
use super::leader::{self, Decision};
use super::{agreement, compare, settle};

/// The time in which a request body has to arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// The size in bytes from which a change is handled alone, because its items need several times the
/// bytes of their text.
const LARGE_CHANGE_BYTES: usize = 256 << 10;

/// The longest wait for the copies of a change. Operators' clients try another instance after about
/// a second; a change that has been accepted by then is acknowledged when it is sent again.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(3_500);

/// State shared by the request handlers.
pub(super) struct Shared {
    pub(super) core: Arc<Core>,
    pub(super) gossip: GossipHandle,
    pub(super) operators: Arc<dyn OperatorFormat>,
    pub(super) client: Client,
    /// The connections of the listener.
    pub(super) connections: Connections,
}

/// A request body that was received; its connection does not give way until this is dropped.
struct Body {
    received: Received,
    _counted: Option<CountedRequest>,
}

impl Shared {
    /// Counts a request on its connection.
    fn begin(&self, request: &HttpRequest) -> Option<CountedRequest> {
        request.io().and_then(|io| self.connections.begin(io))
    }
}

type State = web::types::State<Rc<Shared>>;

/// Adds the routes.
pub(super) fn configure(config: &mut web::ServiceConfig) {
    config
        .service(web::resource("/v1/peer").route(web::post().to(peer)))
        .service(web::resource("/metrics").route(web::get().to(metrics)))
        .service(web::resource("/health").route(web::get().to(health)));
}

async fn health(request: HttpRequest, shared: State) -> HttpResponse {
    let _counted = shared.begin(&request);
    let is_ready = {
        let replication = shared.core.replication();
        replication.is_complete() && !replication.awaits_place()
    };
    match is_ready && !shared.core.is_stopping() {
        true => HttpResponse::Ok().finish(),
        false => HttpResponse::ServiceUnavailable().finish(),
    }
}

async fn metrics(request: HttpRequest, shared: State) -> HttpResponse {
    let _counted = shared.begin(&request);
    let core = &shared.core;
    let counters = &core.counters;
    let mut text = String::new();
    let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    let (held, accepted, pending, complete, voters, is_voter) = {
        let replication = core.replication();
        (
            replication.stored().table.len(),
            replication.accepted().len(),
            replication.pending_count(),
            replication.is_complete(),
            replication.stored().electorate.voters.len(),
            replication.stored().electorate.voters.binary_search(replication.own()).is_ok(),
        )
    };
    let members = core.members();
    for (name, kind, value) in [
        ("changes_accepted_total", "counter", load(&counters.accepted)),
        ("changes_invalid_total", "counter", load(&counters.invalid)),
        ("changes_unconfirmed_total", "counter", load(&counters.unconfirmed)),
        ("push_failures_total", "counter", load(&counters.push_failures)),
        ("connections_replaced_total", "counter", load(&core.connections.replaced)),
        ("connections_refused_total", "counter", load(&core.connections.refused)),
        ("bodies_gave_way_total", "counter", core.bodies.gave_way()),
        ("items_held", "gauge", held as u64),
        ("items_accepted", "gauge", accepted as u64),
        ("items_pending", "gauge", pending as u64),
        ("complete", "gauge", u64::from(complete)),
        ("voters", "gauge", voters as u64),
        ("voter", "gauge", u64::from(is_voter)),
        ("control_members", "gauge", members.control.len() as u64 + 1),
        ("nodes", "gauge", members.nodes.len() as u64),
        ("disk_writable", "gauge", u64::from(core.disk.is_writable())),
    ] {
        let _ = writeln!(text, "# TYPE arbutuslane_control_{name} {kind}");
        let _ = writeln!(text, "arbutuslane_control_{name} {value}");
    }
    let mut timings = Text::default();
    counters.render_timings(&mut timings);
    let text = text + &timings.finish();
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(text)
}

async fn peer(
    request: HttpRequest,
    shared: State,
    mut payload: web::types::Payload,
) -> HttpResponse {
    let presented = request.headers().get(header::TOKEN).and_then(|value| value.to_str().ok());
    if shared.core.tokens.holder(presented.unwrap_or_default()).is_none() {
        return HttpResponse::Unauthorized().finish();
    }
    let body = match receive(&shared, &request, &mut payload).await {
        Ok(body) => body,
        Err(error) => return HttpResponse::build(error.status()).finish(),
    };
    let Ok(message) = codec::decode::<Message>(&body.received.bytes) else {
        return HttpResponse::BadRequest().finish();
    };
    let answer = match message {
        Message::Gossip(message) => match shared.gossip.handle_request(message).await {
            Some(answer) => Answer::Gossip(answer),
            None => return HttpResponse::GatewayTimeout().finish(),
        },
        Message::SyncItems { buckets, unaccepted, max_items } => {
            compare::missing_items(&shared.core, &buckets, unaccepted, max_items)
        }
        Message::FetchItems { hashes, unaccepted } => {
            compare::requested_items(&shared.core, &hashes, unaccepted)
        }
        Message::KeepDepartures { node, departures, on_disk } => {
            let departures = departures.into_iter().map(Into::into).collect();
            keep_departures(&shared.core, (node, departures), on_disk).await
        }
        Message::FetchDepartures { node, on_disk } => kept_departures(&shared.core, &node, on_disk),
        Message::Strikes { strikes, buckets } => {
            shared.core.kept.strikes.merge(strikes).await;
            kept_strikes(&shared.core, &buckets)
        }
        Message::ItemAgreement(bytes) => match agreement::handle(&shared.core, &bytes).await {
            Some(answer) => answer,
            None => return HttpResponse::BadRequest().finish(),
        },
        _ => Answer::Unsupported,
    };
    match codec::encode(&answer) {
        Ok(bytes) => HttpResponse::Ok().body(bytes),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}

/// Keeps departures for a node. Nodes of earlier releases learn only that they are kept.
async fn keep_departures(core: &Core, departures: OfNode, on_disk: bool) -> Answer {
    let is_durable = core.kept.departures.keep(departures, core.clock.now()).await;
    match on_disk {
        true if is_durable => Answer::DeparturesKept { quorum: core.replication().own_quorum() },
        true => Answer::Unsupported,
        false => Answer::Done,
    }
}

fn kept_departures(core: &Core, node: &str, on_disk: bool) -> Answer {
    let now = core.clock.now();
    let departures = core.kept.departures.lock().departures(node, now);
    let departures = departures.into_iter().map(Into::into).collect();
    if !on_disk {
        return Answer::Departures(departures);
    }
    let quorum = core.replication().own_quorum().filter(|_| core.kept.departures.is_complete(now));
    Answer::DeparturesOnDisk { departures, quorum }
}

/// Returns the strikes that a node asks for, which has these hashes of its buckets.
fn kept_strikes(core: &Core, buckets: &[u64]) -> Answer {
    let now = core.clock.now();
    let strikes = core.kept.strikes.lock();
    let differing = if buckets.is_empty() { Vec::new() } else { strikes.differing(buckets) };
    let until = |strike| strikes.until(strike).unwrap_or(now);
    let convert = |strike| peer::strike::Strike::new(strike, until(strike), now);
    let buckets = strikes.buckets().to_vec();
    Answer::Strikes { strikes: differing.iter().map(convert).collect(), buckets }
}

/// Handles requests to all paths without a route, which form the operators' interface.
pub(super) async fn handle_operator_request(
    request: HttpRequest,
    shared: State,
    mut payload: web::types::Payload,
) -> HttpResponse {
    let body = match receive(&shared, &request, &mut payload).await {
        Ok(body) => body,
        Err(error) => {
            let remedy = "send the whole body, within the size limit";
            return refuse(error.status(), &error.to_string(), remedy);
        }
    };
    let _turn = match body.received.bytes.len() >= LARGE_CHANGE_BYTES {
        false => None,
        true => match timeout_checked(ACCEPT_TIMEOUT, shared.core.large_changes.acquire()).await {
            Ok(turn) => Some(turn),
            Err(()) => return unavailable("this instance handles another large change"),
        },
    };
    let target = request.uri().path_and_query().map_or("/", |target| target.as_str());
    match shared.operators.read(request.method().as_str(), target, &body.received.bytes) {
        OperatorRequest::Change(Ok(items)) => handle_change(&shared, items).await,
        OperatorRequest::Change(Err(error)) => refuse_invalid(&shared.core, &error.to_string()),
        OperatorRequest::Read => read_items(&shared).await,
        OperatorRequest::Unknown => {
            refuse(StatusCode::NOT_FOUND, "no such request", "see the operators' page")
        }
    }
}

/// Receives the body of a request.
async fn receive(
    shared: &Shared,
    request: &HttpRequest,
    payload: &mut web::types::Payload,
) -> Result<Body, receive::Error> {
    let counted = shared.begin(request);
    let length = request.headers().get(CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    let length = length.and_then(|text| text.parse().ok());
    let limit = shared.core.settings.max_body_bytes();
    let bounds = Bounds { limit, length, time: BODY_TIMEOUT };
    let received =
        receive::receive(&shared.core.bodies, &mut payload.0, counted.as_ref(), bounds).await?;
    Ok(Body { received, _counted: counted })
}

async fn handle_change(shared: &Shared, items: Vec<Item>) -> HttpResponse {
    let started_at = Instant::now();
    let items: Vec<Arc<Item>> = items.into_iter().map(Arc::new).collect();
    let core = &shared.core;
    if let Err(error) = check::check_declarations(&items) {
        return refuse_invalid(core, &error.to_string());
    }
    if core.is_stopping() || !core.replication().is_complete() {
        return unavailable("this instance does not hold all accepted changes yet");
    }
    let decision = match is_accepted(core, &items) {
        true => Decision::Accepted,
        false => leader::decide(core, &shared.client, &items, ACCEPT_TIMEOUT).await,
    };
    let took_ms = millis(started_at.elapsed());
    let outcome = match &decision {
        Decision::Accepted => "accepted",
        Decision::Invalid(_) => "invalid",
        Decision::Unavailable => "unconfirmed",
    };
    tracing::info!(event = "change", items = items.len(), outcome, took_ms);
    match decision {
        Decision::Accepted => {
            core.counters.record_step(Step::Accept, started_at.elapsed());
            core.counters.accepted.fetch_add(1, Ordering::Relaxed);
            HttpResponse::Ok().content_type("application/json").body("{}")
        }
        Decision::Invalid(reason) => refuse_invalid(core, &reason),
        Decision::Unavailable => {
            core.counters.unconfirmed.fetch_add(1, Ordering::Relaxed);
            unavailable(
                "too few control instances have stored the change yet; it may still be accepted",
            )
        }
    }
}

/// Returns whether a valid change is accepted already, or was overtaken by newer versions.
fn is_accepted(core: &Core, items: &[Arc<Item>]) -> bool {
    let replication = core.replication();
    replication.are_accepted(items) && check::check_items(replication.accepted(), items).is_ok()
}

async fn read_items(shared: &Shared) -> HttpResponse {
    let core = &shared.core;
    if !settle::settle(core, &shared.client).await {
        return unavailable("too few control instances respond to read the newest items");
    }
    let text = shared.operators.render(core.replication().accepted());
    HttpResponse::Ok().content_type("application/json").body(text)
}

fn refuse_invalid(core: &Core, reason: &str) -> HttpResponse {
    core.counters.invalid.fetch_add(1, Ordering::Relaxed);
    tracing::info!(event = "change-refused", reason);
    refuse(StatusCode::BAD_REQUEST, reason, "correct the change")
}

fn unavailable(error: &str) -> HttpResponse {
    refuse(
        StatusCode::SERVICE_UNAVAILABLE,
        error,
        "send the request again, to this or another instance",
    )
}

fn refuse(status: StatusCode, error: &str, remedy: &str) -> HttpResponse {
    let refusal = operator::Refusal { error: error.to_string(), remedy: remedy.to_string() };
    HttpResponse::build(status).json(&refusal)
}

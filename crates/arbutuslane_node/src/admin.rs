//! The listener for backend servers, operators and metrics.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::http::{Method, Response, StatusCode, Uri};
use serde::Serialize;

use arbutuslane_core::time::millis;
use arbutuslane_event::clock::wall_ms;
use arbutuslane_event::prelude::{Draft, Kind, border};
use arbutuslane_member::departure::Stage;
use arbutuslane_wire::announce::{Announcement, Lease};
use arbutuslane_wire::operator::Refusal;

use crate::announce::RENEWALS_PER_LEASE;
use crate::cluster::departures;
use crate::interface::Call;
use crate::metrics::{self, AnnouncementOutcome};
use crate::shared::Shared;
use crate::traffic::Pool;

/// The largest request body in bytes.
pub(crate) const MAX_BODY_BYTES: usize = 64 << 10;

/// The response of `/v1/status`.
#[derive(Debug, Serialize)]
struct Status<'a> {
    node: &'a str,
    domain: &'a str,
    incarnation: u64,
    revision: u64,
    awaited_revision: u64,
    stopping: bool,
    isolated: bool,
    in_flight: i64,
    servers: Vec<ServerStatus>,
    remote_servers: usize,
    members: usize,
    replicas: usize,
    voting_replicas: usize,
    registers: usize,
}

/// A backend server in the response of `/v1/status`.
#[derive(Debug, Serialize)]
struct ServerStatus {
    server: String,
    service: String,
    incarnation: u64,
    address: String,
    leased: bool,
    draining: bool,
    ejected: bool,
    in_flight: u32,
    queued: u32,
    slots: u32,
    latency_us: u32,
}

/// Handles a request on the `admin` listener.
pub(crate) async fn handle(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    method: &Method,
    uri: &Uri,
    body: &[u8],
) -> Response {
    let target = uri.path_and_query().map_or("/", |target| target.as_str());
    match shared.interface.read(method.as_str(), target, body) {
        Call::Announce(Ok(announcement)) => {
            return apply_announcement(shared, pool, &announcement).await;
        }
        Call::Announce(Err(error)) => {
            tracing::info!(event = "announcement-refused", error);
            return refuse(StatusCode::BAD_REQUEST, &error, "correct the named key");
        }
        Call::Leave { server, incarnation } => {
            return leave(shared, pool, &server, incarnation).await;
        }
        Call::Ready => return health(shared),
        Call::Native => {}
    }
    let path = uri.path();
    if let Some(rest) = path.strip_prefix("/v1/servers") {
        return servers(shared, pool, method, rest, body).await;
    }
    if method != Method::GET {
        return refuse(StatusCode::METHOD_NOT_ALLOWED, "method not allowed", "use GET");
    }
    match path {
        "/health" => health(shared),
        "/metrics" => Response::build(StatusCode::OK)
            .content_type("text/plain; version=0.0.4")
            .body(metrics::render(shared)),
        "/v1/events" => events(shared, uri.query().unwrap_or_default()),
        "/v1/status" => Response::build(StatusCode::OK).json(&status(shared)),
        _ => refuse(StatusCode::NOT_FOUND, "no such path", "see the HTTP interfaces of a node"),
    }
}

/// Returns an error response with its cause and remedy.
pub(crate) fn refuse(status: StatusCode, error: &str, remedy: &str) -> Response {
    let refusal = Refusal { error: error.to_string(), remedy: remedy.to_string() };
    Response::build(status).json(&refusal)
}

/// Handles the paths below `/v1/servers`.
async fn servers(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    method: &Method,
    rest: &str,
    body: &[u8],
) -> Response {
    let rest = rest.strip_prefix('/').unwrap_or(rest);
    if rest.is_empty() {
        if method != Method::POST {
            return refuse(StatusCode::METHOD_NOT_ALLOWED, "method not allowed", "use POST");
        }
        return announce(shared, pool, body).await;
    }
    let name = rest.strip_suffix("/drain").unwrap_or(rest);
    let server = shared.servers.get(name);
    let incarnation = server.as_ref().map_or(0, |server| server.incarnation);
    let (known, stage, kind) = match (method, name == rest) {
        (&Method::POST, false) => {
            let in_flight = server.as_ref().map_or(0, |server| server.report().in_flight);
            (shared.servers.drain(name), Stage::Draining, Kind::Drain { in_flight })
        }
        (&Method::DELETE, true) => {
            let left = shared.servers.leave(name, None, shared.clock.now());
            (left, Stage::Left, Kind::ServerLeft { incarnation })
        }
        _ => return refuse(StatusCode::METHOD_NOT_ALLOWED, "method not allowed", "use DELETE"),
    };
    if !known {
        let remedy = "send it to the node that holds the lease";
        return refuse(StatusCode::NOT_FOUND, "server is not announced here", remedy);
    }
    if let Some(server) = server {
        record_event(shared, &server.service, name, kind);
        if !departures::confirm(shared, pool, name, incarnation, stage).await {
            return refuse_departure();
        }
    }
    Response::new(StatusCode::NO_CONTENT)
}

/// Refuses to confirm a departure, which this node keeps to but may forget with a restart.
fn refuse_departure() -> Response {
    let error = "the server gets no new work, but too few control instances keep that yet";
    refuse(StatusCode::SERVICE_UNAVAILABLE, error, "send it again")
}

fn record_event(shared: &Shared, service: &str, server: &str, kind: Kind) {
    shared.events.record(Draft::new(kind).service(service).server(server));
}

fn events(shared: &Shared, query: &str) -> Response {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    let since = fields.find(|(name, _)| *name == "since").map_or("0", |(_, value)| value);
    let Ok(since) = since.parse() else {
        let remedy = "give the number that the last page states as `next`";
        return refuse(StatusCode::BAD_REQUEST, "since is not a number", remedy);
    };
    Response::build(StatusCode::OK).json(&border::Page::from(shared.events.events_since(since)))
}

async fn announce(shared: &Arc<Shared>, pool: &Rc<Pool>, body: &[u8]) -> Response {
    if shared.is_stopping() {
        let remedy = "announce to another node";
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "node is stopping", remedy);
    }
    let announcement: Announcement = match serde_json::from_slice(body) {
        Ok(announcement) => announcement,
        Err(error) => {
            let remedy = "correct the named key of the announcement";
            return refuse(StatusCode::BAD_REQUEST, &error.to_string(), remedy);
        }
    };
    apply_announcement(shared, pool, &announcement).await
}

/// Handles the departure of a server. A repeated departure is acknowledged again.
async fn leave(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    name: &str,
    incarnation: Option<u64>,
) -> Response {
    let server = shared.servers.get(name);
    let known = server.as_ref().map(|server| server.incarnation);
    // A node that has just started may not know the server yet, which has started before now.
    let departed = incarnation.or(known).unwrap_or_else(wall_ms);
    shared.servers.leave(name, Some(departed), shared.clock.now());
    shared.metrics.count_announcement(AnnouncementOutcome::Left);
    if let Some(server) = server.filter(|_| shared.servers.get(name).is_none()) {
        record_event(
            shared,
            &server.service,
            name,
            Kind::ServerLeft { incarnation: server.incarnation },
        );
    }
    if !departures::confirm(shared, pool, name, departed, Stage::Left).await {
        return refuse_departure();
    }
    Response::build(StatusCode::OK).json(&Acknowledged {})
}

/// The empty body of an acknowledgement.
#[derive(Debug, Serialize)]
struct Acknowledged {}

/// Applies an announcement and returns the lease.
async fn apply_announcement(
    shared: &Arc<Shared>,
    pool: &Rc<Pool>,
    announcement: &Announcement,
) -> Response {
    if !departures::wait_recovered(shared).await {
        let error = "this node has started and does not know yet which servers left before";
        return refuse(StatusCode::SERVICE_UNAVAILABLE, error, "announce again");
    }
    shared.raise_awaited_revision(announcement.revision);
    let previous = shared.servers.get(&announcement.server);
    let was_draining = previous.as_ref().is_some_and(|server| server.is_draining());
    if moves_to_unknown_service(shared, announcement) {
        let error = format!("service {} is not declared", announcement.service);
        return refuse(StatusCode::CONFLICT, &error, "declare the service, or correct the name");
    }
    let result = shared.servers.announce(announcement, shared.clock.now());
    shared.metrics.count_announcement(*result.as_ref().unwrap_or(&AnnouncementOutcome::Refused));
    match result {
        Ok(AnnouncementOutcome::New) => {
            let Announcement { incarnation, slots, .. } = *announcement;
            let kind = Kind::ServerAnnounced { incarnation, slots };
            record_event(shared, &announcement.service, &announcement.server, kind);
        }
        Ok(_) => {}
        Err(refused) => {
            let remedy = "correct the announcement or raise the incarnation";
            return refuse(StatusCode::CONFLICT, &refused.to_string(), remedy);
        }
    }
    if announcement.draining && !was_draining {
        let in_flight = previous.map_or(0, |server| server.report().in_flight);
        record_event(
            shared,
            &announcement.service,
            &announcement.server,
            Kind::Drain { in_flight },
        );
    }
    if announcement.draining {
        let (server, incarnation) = (&announcement.server, announcement.incarnation);
        if !departures::confirm(shared, pool, server, incarnation, Stage::Draining).await {
            return refuse_departure();
        }
    }
    let lease = Duration::from_millis(shared.settings.lease_ms);
    let lease = Lease {
        lease_ms: millis(lease),
        renew_ms: millis(lease.div_f64(RENEWALS_PER_LEASE)),
        revision: shared.cluster.lease_revision(shared.clock.now(), announcement.revision),
    };
    Response::build(StatusCode::OK).json(&lease)
}

/// Returns whether an announcement would take a server from its service to one that is not declared. It
/// may come from another program; a server's start with a service that is declared later announces
/// itself again.
fn moves_to_unknown_service(shared: &Shared, announcement: &Announcement) -> bool {
    let configuration = shared.configuration();
    if configuration.declares(&announcement.service) {
        return false;
    }
    shared.servers.all().iter().any(|known| {
        let is_same =
            known.id == announcement.server || known.address.to_string() == announcement.address;
        is_same && known.service != announcement.service && configuration.declares(&known.service)
    })
}

/// Handles a readiness check: an error status says that the node accepts no requests.
fn health(shared: &Shared) -> Response {
    if shared.is_stopping() {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "node is stopping", "use another node");
    }
    if !shared.is_configured() {
        let remedy = "check that a control instance or another node is reachable";
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet", remedy);
    }
    Response::new(StatusCode::OK)
}

fn status(shared: &Shared) -> Status<'_> {
    let now = shared.clock.now();
    let mut servers = Vec::new();
    for server in shared.servers.all() {
        let report = server.report();
        servers.push(ServerStatus {
            server: server.id.clone(),
            service: server.service.clone(),
            incarnation: server.incarnation,
            address: server.address.to_string(),
            leased: server.is_leased(now),
            draining: server.is_draining(),
            ejected: server.health.availability().0,
            in_flight: report.in_flight,
            queued: report.queued,
            slots: report.slots,
            latency_us: report.latency_us,
        });
    }
    let (replicas, voting_replicas, registers) = shared.cluster.registers.counts();
    Status {
        node: &shared.settings.node,
        domain: &shared.settings.domain,
        incarnation: shared.incarnation,
        revision: shared.configuration().revision(),
        awaited_revision: shared.awaited_revision(),
        stopping: shared.is_stopping(),
        isolated: shared.cluster.control_contact().is_unreachable(),
        in_flight: shared.metrics.in_flight.load(std::sync::atomic::Ordering::Relaxed),
        servers,
        remote_servers: shared.remote_servers().len(),
        members: shared.cluster.membership().gossip.table().members().count(),
        replicas,
        voting_replicas,
        registers,
    }
}

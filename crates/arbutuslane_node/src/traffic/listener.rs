//! The listeners of a node and the handling of their connections.

use std::cell::RefCell;
use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::http::h1::control::Reason;
use ntex::http::h1::{Control, ControlAck};
use ntex::http::h2::Http2ServiceConfig;
use ntex::http::{HttpService, Request, Response, StatusCode};
use ntex::io::Base;
use ntex::service::fn_service;
use ntex::time::Seconds;

use arbutuslane_listen::budget::{Budget, Share};
use arbutuslane_listen::config;
use arbutuslane_listen::connections::Connections;
use arbutuslane_listen::gate::Gate;
use arbutuslane_listen::server::{self, ConnectionService, Listener, Server, ServiceBuilder};
use arbutuslane_listen::socket;
use arbutuslane_wire::header;

use crate::shared::Shared;
use crate::{admin, peers};

use super::handshake::ListenerHandles;
use super::protocol::ProtocolSelector;
use super::worker::Worker;
use super::{fields, http1_pipeline, message, owner};

/// How long an idle connection is kept open.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(75);

/// The timeout for receiving a request head.
const HEAD_TIMEOUT: Seconds = Seconds(5);

/// The size of the receive buffer that is set for each connection, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// The most bytes of bodies that an HTTP/2 connection may have sent and nobody has read.
const HTTP2_WINDOW_BYTES: i32 = 64 << 10;

/// The parts of the memory, of 64, that HTTP/2 connections may use.
const HTTP2_MEMORY_PARTS: usize = 4;

/// The requests in progress for each HTTP/2 connection that there may be.
const HTTP2_REQUESTS: usize = 64;

/// The most streams of an HTTP/2 connection at a time.
const MAX_STREAMS: u32 = 100;

/// The largest request head of an HTTP/2 stream in bytes, with 32 for each field.
const MAX_HEADER_LIST_BYTES: u32 = 32 << 10;

/// How often idle connections are checked.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

/// The purpose of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Callers,
    Peers,
    Admin,
}

/// The most connections of a listener in one thread.
#[derive(Debug, Clone, Copy)]
struct Limits {
    /// All connections.
    connections: usize,
    /// Those of them that carry HTTP/2.
    http2_connections: usize,
}

impl Purpose {
    /// Returns the part of the node's memory and descriptors that the connections of one listener
    /// may use. The rest is for bodies and responses, for connections to servers, peers and control
    /// instances, and for the node itself.
    fn share(self) -> Share {
        let receive_buffer = RECEIVE_BUFFER_BYTES;
        match self {
            Self::Callers => Share { memory: 12, descriptors: 16, receive_buffer },
            Self::Peers => Share { memory: 8, descriptors: 12, receive_buffer },
            // There may be three of these listeners.
            Self::Admin => Share { memory: 1, descriptors: 2, receive_buffer },
        }
    }
}

thread_local! {
    /// The state of this traffic thread, which all its listeners share.
    static WORKER: RefCell<Option<Rc<Worker>>> = const { RefCell::new(None) };
}

/// Opens the listeners and starts the traffic threads.
pub(crate) fn start(shared: &Arc<Shared>) -> std::io::Result<(Server, ListenerHandles)> {
    let settings = &shared.settings;
    let mut listeners = vec![
        ("callers", Purpose::Callers, settings.callers),
        ("peers", Purpose::Peers, settings.peers),
        ("admin", Purpose::Admin, settings.admin),
    ];
    for (name, address) in [("readiness", settings.readiness), ("metrics", settings.metrics)] {
        listeners.extend(address.map(|address| (name, Purpose::Admin, address)));
    }
    let budget = Budget::new(settings.memory_mb, settings.descriptors);
    budget.log();
    let mut handles = ListenerHandles::default();
    let mut served = Vec::new();
    for (name, purpose, address) in listeners {
        let limit = budget.connections(purpose.share());
        let socket = socket::open(address, budget.backlog(limit), RECEIVE_BUFFER_BYTES).map_err(
            |error| std::io::Error::new(error.kind(), format!("{name} {address}: {error}")),
        )?;
        handles.add(&socket)?;
        let limits = Limits {
            connections: limit.div_ceil(settings.traffic_threads),
            http2_connections: budget
                .http2_connections(HTTP2_MEMORY_PARTS)
                .div_ceil(settings.traffic_threads),
        };
        let service = service_builder(shared, purpose, limits);
        served.push(Listener { socket, limit, config: connection_config(), service });
    }
    let stop_timeout =
        Seconds::checked_new(usize::try_from(settings.stop_limit().as_secs()).unwrap_or(60));
    Ok((server::start(served, settings.traffic_threads, stop_timeout)?, handles))
}

/// Returns the configuration of the connections.
fn connection_config() -> SharedCfg {
    let http = config::http().set_keepalive(KEEP_ALIVE_TIMEOUT).set_client_timeout(HEAD_TIMEOUT);
    let http2 = Http2ServiceConfig::new()
        .set_initial_connection_window_size(HTTP2_WINDOW_BYTES)
        .set_max_concurrent_streams(MAX_STREAMS)
        .set_max_header_list_size(MAX_HEADER_LIST_BYTES);
    SharedCfg::new("incoming").add(http).add(http2).add(config::io()).into()
}

/// Returns what builds the service of a listener in a thread, with connections within `limits`.
fn service_builder(shared: &Arc<Shared>, purpose: Purpose, limits: Limits) -> ServiceBuilder {
    let shared = Arc::clone(shared);
    Arc::new(move || {
        let service = build_service(&shared, purpose, limits);
        Box::pin(std::future::ready(service))
    })
}

/// Builds the service of a listener for this thread.
fn build_service(shared: &Arc<Shared>, purpose: Purpose, limits: Limits) -> ConnectionService {
    let worker = thread_worker(shared);
    let counters = &shared.metrics.connections;
    let connections = Connections::new(limits.connections, Arc::clone(counters));
    let http2_connections = Connections::with_extra(
        limits.http2_connections,
        limits.http2_connections * HTTP2_REQUESTS,
        Arc::clone(counters),
    );
    let service = |known: &Connections| {
        let (worker, known) = (Rc::clone(&worker), known.clone());
        fn_service(async move |request: Request| {
            let worker = Rc::clone(&worker);
            Ok::<_, std::io::Error>(serve(worker, purpose, &known, request).await)
        })
    };
    let http1 = HttpService::h1(service(&connections))
        .control(fn_service(async |control| Ok::<_, Infallible>(handle_control(control))));
    let http2 = HttpService::h2(service(&http2_connections));
    let http2 = Gate { inner: http2, connections: http2_connections };
    let selector = ProtocolSelector {
        http1,
        http2,
        http2_origin: (purpose == Purpose::Callers).then(|| connections.clone()),
    };
    server::boxed_service(Gate { inner: selector, connections })
}

/// Returns the state of this traffic thread; creates it on first use.
fn thread_worker(shared: &Arc<Shared>) -> Rc<Worker> {
    WORKER.with_borrow_mut(|worker| {
        Rc::clone(worker.get_or_insert_with(|| {
            let worker = Worker::new(Arc::clone(shared));
            ntex::rt::spawn(expire_connections(Rc::clone(&worker)));
            worker
        }))
    })
}

/// Closes expired idle connections periodically, as long as the thread runs.
async fn expire_connections(worker: Rc<Worker>) {
    loop {
        ntex::time::sleep(EXPIRY_INTERVAL).await;
        worker.pool.expire();
        worker.pipelined.borrow_mut().expire();
    }
}

/// Responds to a request that cannot be parsed; acknowledges any other control message.
fn handle_control(control: Control<Base, std::io::Error>) -> ControlAck<Base> {
    match control {
        Control::Disconnect(Reason::ProtocolError(error)) => {
            let text = error.err().to_string();
            let remedy = "send a valid HTTP/1.1 request with a head of at most 32 KiB";
            let mut response = Response::new(StatusCode::BAD_REQUEST);
            if let Some(refused) = head_refusal(&error, &text, remedy) {
                response = refused;
            }
            fields::set(response.headers_mut(), header::OUTCOME, header::OUTCOME_NOT_RUN);
            error.fail_with(response)
        }
        control => control.ack(),
    }
}

/// Returns the response to an invalid or late request head, or `None` for any other error.
fn head_refusal(
    error: &ntex::http::h1::control::ProtocolError,
    text: &str,
    remedy: &str,
) -> Option<Response> {
    use ntex::http::error::DecodeError;
    use ntex::http::h1::ProtocolError;
    let status = match error.err() {
        ProtocolError::Decode(DecodeError::MaxHeaders | DecodeError::TooLarge(_)) => {
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE
        }
        ProtocolError::Decode(_) => StatusCode::BAD_REQUEST,
        ProtocolError::SlowRequestTimeout | ProtocolError::SlowPayloadTimeout => {
            StatusCode::REQUEST_TIMEOUT
        }
        _ => return None,
    };
    Some(admin::refuse(status, text, remedy))
}

/// Responds to a request according to the purpose of its listener.
///
/// The library reserves memory for this function with each request that it parses, so that it is
/// kept small.
async fn serve(
    worker: Rc<Worker>,
    purpose: Purpose,
    connections: &Connections,
    request: Request,
) -> Response {
    match purpose {
        Purpose::Callers => Box::pin(http1_pipeline::handle(worker, connections, request)).await,
        Purpose::Peers => Box::pin(serve_peer(worker, connections, request)).await,
        Purpose::Admin => Box::pin(serve_admin(worker, connections, request)).await,
    }
}

/// Responds to a request of another node or of a control instance.
async fn serve_peer(
    worker: Rc<Worker>,
    connections: &Connections,
    mut request: Request,
) -> Response {
    let counted = request.io().and_then(|io| connections.begin(io));
    let token = request.headers().get(header::TOKEN).map(|token| token.as_bytes());
    if !worker.shared.accepts_token(token.unwrap_or_default()) {
        let remedy = "send the fleet's token in the header arbutuslane-token";
        return admin::refuse(StatusCode::UNAUTHORIZED, "token is missing or wrong", remedy);
    }
    if request.path().starts_with(owner::OFFER) {
        return owner::handle_offer(&worker, &request);
    }
    if request.path().starts_with(owner::FORWARD) {
        return owner::handle(worker, request, counted).await;
    }
    let limit = peers::MAX_MESSAGE_BYTES;
    let body = message::receive(&worker.shared, &mut request, counted.as_ref(), limit);
    let mut response = match body.await {
        Ok(body) => peers::handle(&worker.shared, &worker.pool, request.path(), &body.bytes).await,
        Err(response) => response,
    };
    // Messages share pooled connections with forwarded requests, whose exchange id must be echoed.
    if let Some(exchange) = fields::text(request.headers(), header::EXCHANGE) {
        fields::set(response.headers_mut(), header::EXCHANGE, exchange);
    }
    response
}

/// Responds to a request of a server, an operator or a check.
async fn serve_admin(
    worker: Rc<Worker>,
    connections: &Connections,
    mut request: Request,
) -> Response {
    let counted = request.io().and_then(|io| connections.begin(io));
    let limit = admin::MAX_BODY_BYTES;
    match message::receive(&worker.shared, &mut request, counted.as_ref(), limit).await {
        Ok(body) => {
            let (method, uri) = (request.method(), request.uri());
            admin::handle(&worker.shared, &worker.pool, method, uri, &body.bytes).await
        }
        Err(response) => response,
    }
}

//! The listeners of a node and the handling of their connections.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::http::h1::control::Reason;
use ntex::http::h1::{Control, ControlAck};
use ntex::http::{HttpService, HttpServiceConfig, Payload, Request, Response, StatusCode};
use ntex::io::{Base, IoConfig};
use ntex::server::{Server, ServerBuilder, build, create_tcp_listener};
use ntex::service::fn_service;
use ntex::time::{Seconds, timeout_checked};
use ntex::util::{Bytes, BytesMut};

use arbutuslane_wire::header;

use crate::shared::Shared;
use crate::{admin, peers};

use super::handshake::ListenerHandles;
use super::protocol::ProtocolSelector;
use super::worker::Worker;
use super::{fields, http1_pipeline, owner};

/// How long an idle connection is kept open.
const KEEP_ALIVE_TIMEOUT: Seconds = Seconds(75);

/// The timeout for receiving a request head.
const HEAD_TIMEOUT: Seconds = Seconds(5);

/// The maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// The size of the read and write buffers of a connection in bytes.
pub(super) const BUFFER_BYTES: usize = 64 << 10;

/// The timeout for receiving the body of a message to `peers` or `admin`.
const MESSAGE_BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// How often idle connections are checked.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(2);

/// The maximum number of connections that wait to be accepted.
const ACCEPT_BACKLOG: i32 = 1_024;

/// The purpose of a listener.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Callers,
    Peers,
    Admin,
}

thread_local! {
    /// The state of this traffic thread, which all its listeners share.
    static WORKER: RefCell<Option<Rc<Worker>>> = const { RefCell::new(None) };
}

/// Opens the listeners and starts the traffic threads.
pub(crate) fn start(shared: &Arc<Shared>) -> std::io::Result<(Server, ListenerHandles)> {
    let settings = &shared.settings;
    let stop_timeout =
        Seconds::checked_new(usize::try_from(settings.stop_limit().as_secs()).unwrap_or(60));
    let mut builder = build()
        .workers(settings.traffic_threads)
        .backlog(ACCEPT_BACKLOG)
        .disable_signals()
        .shutdown_timeout(stop_timeout);
    let mut listeners = vec![
        ("callers", Purpose::Callers, settings.callers),
        ("peers", Purpose::Peers, settings.peers),
        ("admin", Purpose::Admin, settings.admin),
    ];
    for (name, address) in [("readiness", settings.readiness), ("metrics", settings.metrics)] {
        listeners.extend(address.map(|address| (name, Purpose::Admin, address)));
    }
    let mut handles = ListenerHandles::default();
    for (name, purpose, address) in listeners {
        let listener = open_listener(name, address)?;
        handles.add(&listener)?;
        builder = add_listener(builder, shared, name, purpose, listener)?;
    }
    Ok((builder.run(), handles))
}

/// Opens a listener on `address`.
fn open_listener(name: &str, address: SocketAddr) -> std::io::Result<TcpListener> {
    create_tcp_listener(address, ACCEPT_BACKLOG)
        .map_err(|error| std::io::Error::new(error.kind(), format!("{name} {address}: {error}")))
}

/// Adds a listener to the server.
fn add_listener(
    builder: ServerBuilder,
    shared: &Arc<Shared>,
    name: &str,
    purpose: Purpose,
    listener: TcpListener,
) -> std::io::Result<ServerBuilder> {
    let shared = Arc::clone(shared);
    let http = HttpServiceConfig::new()
        .set_keepalive(KEEP_ALIVE_TIMEOUT)
        .set_client_timeout(HEAD_TIMEOUT)
        .set_max_buf_size(MAX_HEAD_BYTES);
    let io = IoConfig::new().set_read_buf(BUFFER_BYTES, 4 << 10, 32).set_write_buf(
        BUFFER_BYTES,
        4 << 10,
        32,
    );
    let builder = builder.listen(name, listener, async move |_| {
        let worker = thread_worker(&shared);
        let service = fn_service(async move |request: Request| {
            Ok::<_, std::io::Error>(serve(Rc::clone(&worker), purpose, request).await)
        });
        let http1 = HttpService::h1(service.clone())
            .control(fn_service(async |control| Ok::<_, Infallible>(handle_control(control))));
        let http2 = HttpService::h2(service);
        ProtocolSelector { http1, http2, accepts_http2: purpose == Purpose::Callers }
    })?;
    Ok(builder.config(name, SharedCfg::new("incoming").add(http).add(io)))
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
async fn serve(worker: Rc<Worker>, purpose: Purpose, mut request: Request) -> Response {
    match purpose {
        Purpose::Callers => http1_pipeline::handle(worker, request).await,
        Purpose::Peers => {
            let token = request.headers().get(header::TOKEN).map(|token| token.as_bytes());
            if !worker.shared.accepts_token(token.unwrap_or_default()) {
                let remedy = "send the fleet's token in the header arbutuslane-token";
                return admin::refuse(
                    StatusCode::UNAUTHORIZED,
                    "token is missing or wrong",
                    remedy,
                );
            }
            if request.path().starts_with(owner::OFFER) {
                return owner::handle_offer(&worker, &request);
            }
            if request.path().starts_with(owner::FORWARD) {
                return owner::handle(worker, request).await;
            }
            let mut response =
                match read_body(request.take_payload(), peers::MAX_MESSAGE_BYTES).await {
                    Ok(body) => {
                        peers::handle(&worker.shared, &worker.pool, request.path(), &body).await
                    }
                    Err(response) => response,
                };
            // Messages share pooled connections with forwarded requests, whose exchange id must be
            // echoed.
            if let Some(exchange) = fields::text(request.headers(), header::EXCHANGE) {
                fields::set(response.headers_mut(), header::EXCHANGE, exchange);
            }
            response
        }
        Purpose::Admin => match read_body(request.take_payload(), admin::MAX_BODY_BYTES).await {
            Ok(body) => {
                let (method, uri) = (request.method(), request.uri());
                admin::handle(&worker.shared, &worker.pool, method, uri, &body).await
            }
            Err(response) => response,
        },
    }
}

/// Reads a whole body of at most `limit` bytes.
async fn read_body(mut payload: Payload, limit: usize) -> Result<Bytes, Response> {
    let reading = async {
        let mut buffer = BytesMut::new();
        while let Some(chunk) = payload.recv().await {
            let remedy = "send the complete body";
            let chunk = chunk.map_err(|error| {
                admin::refuse(StatusCode::BAD_REQUEST, &error.to_string(), remedy)
            })?;
            buffer.extend_from_slice(&chunk);
            if buffer.len() > limit {
                let remedy = "send a smaller body";
                let status = StatusCode::PAYLOAD_TOO_LARGE;
                return Err(admin::refuse(status, "body is too large", remedy));
            }
        }
        Ok(buffer.freeze())
    };
    timeout_checked(MESSAGE_BODY_TIMEOUT, reading).await.unwrap_or_else(|()| {
        let remedy = "send the body within 5 s";
        Err(admin::refuse(StatusCode::REQUEST_TIMEOUT, "the body was not received in time", remedy))
    })
}

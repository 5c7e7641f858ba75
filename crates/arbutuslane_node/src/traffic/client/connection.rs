//! One exchange on one connection.

use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::http::{HeaderMap, Method, StatusCode};
use rustix::io::Errno;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{sleep, timeout};

use arbutuslane_wire::header;

use crate::traffic::fields;
use crate::traffic::status;
use crate::traffic::worker::new_exchange_id;

use super::body::{Body, Framing, PoolReturn};
use super::head_limit::{HeadAllowance, HeadLimitedStream};
use super::upload::OutgoingBody;
use super::used_ids::UsedIds;
use super::{Failure, Pool, Upload};

/// The maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// The maximum number of header fields in a response.
const MAX_HEADER_FIELDS: usize = 96;

/// The maximum size of a connection's buffer in bytes; limits the memory that a long body uses.
const MAX_BUFFER_BYTES: usize = 32 << 10;

/// The size of a connection's receive buffer in bytes, as it is set: what a response may add to the
/// memory of this machine while its reader takes nothing.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;

/// How long to wait for a descriptor: the time in which a listener closes connections beyond its
/// share.
const DESCRIPTOR_WAIT: Duration = Duration::from_millis(10);

/// How often to wait for a descriptor.
const MAX_DESCRIPTOR_WAITS: u32 = 20;

/// How long sent bytes may stay unacknowledged: several retransmissions on a link that loses
/// packets.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The idle time before the first keep-alive probe. A running request may be quiet for seconds.
const KEEP_ALIVE_IDLE_TIME: Duration = Duration::from_secs(2);

/// The time between two keep-alive probes.
const KEEP_ALIVE_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered keep-alive probes after which the connection is closed.
const MAX_KEEP_ALIVE_PROBES: u32 = 2;

/// The minimum timeout for a connection or a response head.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// A connection that carries at most one exchange at a time.
///
/// The owner of this value also drives the connection, so that dropping it closes the socket at
/// once.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<OutgoingBody>,
    driver: Driver,
    address: SocketAddr,
    /// How long the connection was idle before this exchange; `None` if it carries its first one.
    idle: Option<Duration>,
    used_ids: UsedIds,
    pool: Rc<Pool>,
}

/// The protocol state of one connection, which makes progress only while it is polled.
#[derive(Debug)]
pub(super) struct Driver {
    connection: http1::Connection<TokioIo<HeadLimitedStream>, OutgoingBody>,
    allowance: HeadAllowance,
}

/// A request for one hop.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) method: Method,
    /// The path and query.
    pub(crate) target: String,
    /// All header fields except those that frame the body.
    pub(crate) headers: HeaderMap,
    pub(crate) upload: Upload,
}

/// How long the other side of a connection may acknowledge nothing before the connection is closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum SilenceLimit {
    /// A few seconds. Most exchanges can be repeated with another process.
    Short,
    /// The time that is left of an exchange that must not be repeated. A machine that was suspended
    /// or cut off for a while goes on with its work and responds.
    Deadline(Duration),
}

/// Whether the other side must echo the exchange id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Echo {
    /// A response without the id is discarded.
    Required,
    /// A response without the id is accepted on a new connection, which has carried no other
    /// exchange.
    Unknown,
}

/// The parameters of one exchange.
#[derive(Debug, Clone)]
pub(crate) struct ExchangeOptions {
    /// The header field that identifies the exchange, and its value.
    pub(crate) id: (&'static str, String),
    /// Whether a caller chose the id, so that another request may have the same one.
    pub(crate) is_id_of_caller: bool,
    /// Whether the other side must echo the id.
    pub(crate) echo: Echo,
    /// Whether the connection may be reused for later exchanges.
    pub(crate) keep_alive: bool,
    /// Whether the end of the connection may end the response.
    pub(crate) allows_close_delimited: bool,
    /// The timeout for the response head.
    pub(crate) limit: Duration,
}

impl ExchangeOptions {
    /// Returns the parameters of an exchange with a process of the fleet.
    pub(crate) fn with_peer(echo: Echo, keep_alive: bool, limit: Duration) -> Self {
        let id = (header::EXCHANGE, format!("{:032x}", new_exchange_id()));
        Self { id, is_id_of_caller: false, echo, keep_alive, allows_close_delimited: false, limit }
    }
}

/// A response whose body is still to be read.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    pub(crate) status: StatusCode,
    /// All header fields as received.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Body,
    /// Whether the other side echoed the exchange id.
    pub(crate) echoed: bool,
}

impl Connection {
    /// Opens a connection to `address`.
    pub(super) async fn open(
        address: SocketAddr,
        limit: Duration,
        silence_limit: SilenceLimit,
        pool: Rc<Pool>,
    ) -> Result<Self, Failure> {
        let connecting = timeout(limit.max(MIN_TIMEOUT), dial(address));
        let stream = connecting.await.map_err(|_| Failure::ConnectTimeout)?;
        let stream = stream.map_err(Failure::Connect)?;
        stream.set_nodelay(true).map_err(Failure::Connect)?;
        detect_dead_peer(&stream, silence_limit).map_err(Failure::Connect)?;
        let mut builder = http1::Builder::new();
        builder
            .max_buf_size(MAX_BUFFER_BYTES)
            .max_header_size(MAX_HEAD_BYTES)
            .max_headers(MAX_HEADER_FIELDS);
        let allowance = HeadAllowance::default();
        let stream = HeadLimitedStream::new(stream, allowance.clone());
        let (sender, connection) =
            builder.handshake(TokioIo::new(stream)).await.map_err(|_| Failure::ClosedUnused)?;
        let driver = Driver { connection, allowance };
        let used_ids = UsedIds::default();
        Ok(Self { sender, driver, address, idle: None, used_ids, pool })
    }

    /// Returns an idle connection for another exchange.
    pub(super) fn reuse(
        sender: SendRequest<OutgoingBody>,
        driver: Driver,
        address: SocketAddr,
        used_ids: UsedIds,
        pool: Rc<Pool>,
        idle: Duration,
    ) -> Self {
        Self { sender, driver, address, idle: Some(idle), used_ids, pool }
    }

    /// Returns whether the connection has carried an earlier exchange.
    pub(crate) fn is_reused(&self) -> bool {
        self.idle.is_some()
    }

    /// Returns how long the connection has been idle since its last exchange, if it had one.
    pub(crate) fn idle(&self) -> Option<Duration> {
        self.idle
    }

    /// Sends `request` and returns the response once its head is complete.
    ///
    /// The first byte is written before this function first waits. The connection returns to the
    /// pool only if `keep_alive` is set, the id was echoed and both bodies were completed.
    pub(crate) async fn exchange(
        self,
        request: Request,
        options: ExchangeOptions,
    ) -> Result<ReceivedResponse, Failure> {
        let is_reused = self.is_reused();
        let Self { mut sender, mut driver, address, mut used_ids, pool, .. } = self;
        let ExchangeOptions { echo, keep_alive, allows_close_delimited, limit, .. } = options;
        let (field, id) = options.id;
        let (method, upload) = (request.method.clone(), request.upload.clone());
        let request = to_hyper_request(&request, (field, &id), keep_alive)?;
        driver.allowance.start();
        let mut responding = Box::pin(sender.try_send_request(request));
        let receive = poll_fn(|cx| {
            let has_ended = driver.poll(cx).is_ready();
            match responding.as_mut().poll(cx) {
                Poll::Pending if has_ended => Poll::Ready(None),
                poll => poll.map(Some),
            }
        });
        let response = match timeout(limit.max(MIN_TIMEOUT), receive).await {
            Ok(Some(Ok(response))) => response,
            Ok(Some(Err(mut error))) => {
                // `hyper` returns the request only if no byte of it was written.
                return Err(match (error.take_message(), upload.failure()) {
                    (Some(_), _) => Failure::ClosedUnused,
                    (None, Some(failure)) => failure,
                    (None, None) => Failure::Closed(error.into_error().to_string()),
                });
            }
            Ok(None) => return Err(Failure::Closed("connection ended".to_string())),
            Err(_) => {
                match is_reused {
                    true => pool.suspend_reuse(address),
                    false => pool.purge(address),
                }
                return Err(Failure::Deadline);
            }
        };
        driver.allowance.end();
        let (head, incoming) = response.into_parts();
        let code = head.status.as_u16();
        let status = status::of_final(code).ok_or(Failure::Status(code))?;
        let mut headers = HeaderMap::with_capacity(head.headers.len());
        for (name, value) in &head.headers {
            let value = HeaderValue::from_bytes(value.as_bytes());
            let value = value.map_err(|error| Failure::Closed(error.to_string()))?;
            headers.append(HeaderName::clone(name), value);
        }
        let echoed = match headers.get(field).map(HeaderValue::as_bytes) {
            Some(value) if value == id.as_bytes() => true,
            None if echo == Echo::Unknown && !is_reused => false,
            _ => return Err(Failure::WrongExchange),
        };
        let framing = Framing::of(&method, status, &headers);
        let framing = match framing {
            None if allows_close_delimited => Framing::until_close(&headers),
            framing => framing,
        };
        let framing = framing.ok_or(Failure::Unframed)?;
        let idle = peer_idle_timeout(&headers);
        if options.is_id_of_caller {
            used_ids.add(&id);
        }
        let pool_return = PoolReturn { pool, address, used_ids, peer_timeout: idle };
        let pool_return = (keep_alive && echoed).then_some(pool_return);
        let body = Body::new(sender, driver, incoming, framing, upload, pool_return);
        Ok(ReceivedResponse { status, headers, body, echoed })
    }
}

impl Driver {
    /// Sends and receives bytes; ready when the connection has ended.
    pub(super) fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        Pin::new(&mut self.connection).poll(cx).map(|_| ())
    }

    /// Returns whether the connection is open and idle, with no received bytes.
    pub(super) fn is_idle(&mut self, sender: &SendRequest<OutgoingBody>) -> bool {
        // Bytes that arrive without a request belong to a second response; `hyper` then ends the
        // connection.
        self.poll(&mut Context::from_waker(Waker::noop())).is_pending()
            && sender.is_ready()
            && !sender.is_closed()
    }
}

/// Makes the system close a connection whose other side acknowledges nothing, because its machine
/// has failed or a device between the two has lost the connection's state.
fn detect_dead_peer(stream: &TcpStream, silence_limit: SilenceLimit) -> std::io::Result<()> {
    let socket = SockRef::from(stream);
    // The timeout also applies to keep-alive probes.
    let timeout = match silence_limit {
        SilenceLimit::Short => UNACKNOWLEDGED_TIMEOUT,
        SilenceLimit::Deadline(left) => left.max(UNACKNOWLEDGED_TIMEOUT),
    };
    socket.set_tcp_user_timeout(Some(timeout))?;
    let probes = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_IDLE_TIME)
        .with_interval(KEEP_ALIVE_PROBE_INTERVAL);
    socket.set_tcp_keepalive(&probes.with_retries(MAX_KEEP_ALIVE_PROBES))
}

/// Returns how long the other side keeps an idle connection open, if it states that.
fn peer_idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let stated = fields::text(headers, "keep-alive")?;
    let mut parameters = stated.split(',').filter_map(|part| part.trim().split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Converts a request for `hyper`; adds `connection: close` unless `keep_alive` is set.
fn to_hyper_request(
    request: &Request,
    (field, id): (&'static str, &str),
    keep_alive: bool,
) -> Result<hyper::Request<OutgoingBody>, Failure> {
    let request_failure = |error: hyper::http::Error| Failure::Request(error.to_string());
    let mut builder = hyper::Request::builder()
        .method(request.method.clone())
        .uri(request.target.as_str())
        .header(field, id);
    for (name, value) in &request.headers {
        if name.as_str() == field {
            continue;
        }
        builder = builder.header(HeaderName::clone(name), value.as_bytes());
    }
    if !keep_alive {
        builder = builder.header("connection", "close");
    }
    builder.body(request.upload.outgoing()).map_err(request_failure)
}

/// Opens a connection with a small receive buffer; waits for a descriptor if there is none.
async fn dial(address: SocketAddr) -> std::io::Result<TcpStream> {
    for _ in 0..MAX_DESCRIPTOR_WAITS {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4(),
            SocketAddr::V6(_) => TcpSocket::new_v6(),
        };
        match socket {
            Ok(socket) => {
                socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
                return socket.connect(address).await;
            }
            Err(error) if Errno::from_io_error(&error) == Some(Errno::MFILE) => {
                sleep(DESCRIPTOR_WAIT).await;
            }
            Err(error) => return Err(error),
        }
    }
    Err(std::io::Error::other("all descriptors of this process are in use"))
}

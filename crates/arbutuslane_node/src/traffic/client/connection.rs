//! One exchange over one connection.

use std::fmt::Write;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use ntex::http::header::HeaderValue;
use ntex::http::{HeaderMap, Method, StatusCode};
use ntex::io::{Io, RecvError};
use ntex::time::timeout_checked;

use arbutuslane_core::id::Exchange;
use arbutuslane_wire::header;

use super::body::Body;
use super::head::{Codec, Framing, Head};
use super::{Failure, Pool, Upload, framing};

/// A connection that carries at most one exchange at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    io: Io,
    address: SocketAddr,
    reused: bool,
    pool: Rc<Pool>,
}

/// A request for one hop.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    /// The method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    /// All header fields except those that frame the body.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) upload: Upload,
}

/// Whether the other side must echo the exchange id.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Echo {
    /// A response without the id is discarded.
    Required,
    /// A response without the id is accepted on a new connection, which carries nothing else.
    Unknown,
}

/// A response whose body is still to be read.
#[derive(Debug)]
pub(crate) struct Reply {
    /// The status.
    pub(crate) status: StatusCode,
    /// All header fields as received.
    pub(crate) headers: HeaderMap,
    /// The body.
    pub(crate) body: Body,
    /// Whether the sender echoed the exchange id.
    pub(crate) echoed: bool,
}

/// The request body while it is being sent.
pub(super) type Pump = Pin<Box<dyn Future<Output = Result<(), Failure>>>>;

impl Connection {
    pub(super) fn new(io: Io, address: SocketAddr, reused: bool, pool: Rc<Pool>) -> Self {
        Self { io, address, reused, pool }
    }

    /// Returns whether the connection carried an earlier exchange.
    pub(crate) fn reused(&self) -> bool {
        self.reused
    }

    /// Sends `request` and returns the response once its head is complete.
    ///
    /// The first byte is written before this function first waits. The connection is kept for
    /// later exchanges only when `keep` is set, the id was echoed and both bodies were completed.
    pub(crate) async fn exchange(
        self,
        request: Request,
        exchange: Exchange,
        echo: Echo,
        keep: bool,
        limit: Duration,
    ) -> Result<Reply, Failure> {
        let Self { io, address, reused, pool } = self;
        if io.is_closed() || io.with_read_buf(|buffer| !buffer.is_empty()) {
            return Err(Failure::ClosedUnused);
        }
        let id = format!("{exchange:032x}");
        io.encode_slice(&encode(&request, &id, keep)).map_err(|_| Failure::ClosedUnused)?;
        let io = Rc::new(io);
        let codec = Codec::new(&request.method);
        let mut pump: Option<Pump> = match request.upload {
            Upload::Empty => None,
            upload => Some(Box::pin(upload.send(Rc::clone(&io)))),
        };
        let receive = poll_fn(|cx| poll_head(&io, &codec, &mut pump, cx));
        let head = match timeout_checked(limit.max(Duration::from_millis(1)), receive).await {
            Ok(head) => head?,
            Err(()) => {
                match reused {
                    true => pool.distrust(address),
                    false => pool.purge(address),
                }
                return Err(Failure::Deadline);
            }
        };
        let echoed = match head.headers.get(header::EXCHANGE).map(HeaderValue::as_bytes) {
            Some(value) if value == id.as_bytes() => true,
            None if echo == Echo::Unknown && !reused => false,
            _ => return Err(Failure::WrongExchange),
        };
        if head.framing == Framing::UntilClose {
            return Err(Failure::Unframed);
        }
        let codec = framing::Codec::new(head.framing).ok_or(Failure::Unframed)?;
        let keep = (keep && echoed && head.keep_alive).then_some((pool, address));
        let body = Body::new(io, codec, head.framing, pump, keep);
        Ok(Reply { status: head.status, headers: head.headers, body, echoed })
    }
}

fn poll_head(
    io: &Io,
    codec: &Codec,
    pump: &mut Option<Pump>,
    cx: &mut Context<'_>,
) -> Poll<Result<Head, Failure>> {
    poll_pump(pump, cx)?;
    loop {
        return Poll::Ready(match ready!(io.poll_recv(codec, cx)) {
            Ok(head) => Ok(head),
            Err(RecvError::WriteBackpressure) => {
                ready!(io.poll_flush(cx, false)).map_err(|_| Failure::Closed)?;
                continue;
            }
            Err(RecvError::Decoder(error)) => Err(error.into()),
            Err(RecvError::KeepAlive | RecvError::PeerGone(_)) => Err(Failure::Closed),
        });
    }
}

/// Advances the request body; a server that stops reading may still have responded.
pub(super) fn poll_pump(pump: &mut Option<Pump>, cx: &mut Context<'_>) -> Result<(), Failure> {
    let Some(sending) = pump else { return Ok(()) };
    match sending.as_mut().poll(cx) {
        Poll::Pending => Ok(()),
        Poll::Ready(Ok(()) | Err(Failure::Closed)) => {
            *pump = None;
            Ok(())
        }
        Poll::Ready(Err(failure)) => Err(failure),
    }
}

fn encode(request: &Request, id: &str, keep: bool) -> Vec<u8> {
    let mut text = String::with_capacity(512);
    let _ = write!(text, "{} {} HTTP/1.1\r\n", request.method, request.target);
    let _ = write!(text, "{}: {id}\r\n", header::EXCHANGE);
    let has_body = matches!(request.method, Method::POST | Method::PUT | Method::PATCH);
    text.push_str(&request.upload.framing_field(has_body));
    if !keep {
        text.push_str("connection: close\r\n");
    }
    let mut bytes = text.into_bytes();
    for (name, value) in &request.headers {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

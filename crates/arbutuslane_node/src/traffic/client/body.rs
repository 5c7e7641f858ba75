//! The body of a response while it is being received.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use ntex::io::{Io, RecvError};
use ntex::util::{Bytes, BytesMut};

use super::connection::{Pump, poll_pump};
use super::framing::{Codec, Part};
use super::head::Framing;
use super::{Failure, Pool};

/// The body of a response; dropping it before its end closes the connection.
pub(crate) struct Body {
    io: Option<Rc<Io>>,
    codec: Codec,
    framing: Framing,
    pump: Option<Pump>,
    keep: Option<(Rc<Pool>, SocketAddr)>,
}

impl std::fmt::Debug for Body {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Body").field("framing", &self.framing).finish_non_exhaustive()
    }
}

impl Body {
    pub(super) fn new(
        io: Rc<Io>,
        codec: Codec,
        framing: Framing,
        pump: Option<Pump>,
        keep: Option<(Rc<Pool>, SocketAddr)>,
    ) -> Self {
        let mut body = Self { io: Some(io), codec, framing, pump, keep };
        if framing == Framing::Empty {
            body.finish();
        }
        body
    }

    /// Returns the stated length, or nothing when the body comes in chunks.
    pub(crate) fn length(&self) -> Option<u64> {
        match self.framing {
            Framing::Empty => Some(0),
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// Polls for the next bytes; nothing follows the verified end.
    pub(crate) fn poll_next(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Failure>>> {
        if let Err(failure) = poll_pump(&mut self.pump, cx) {
            self.io = None;
            return Poll::Ready(Some(Err(failure)));
        }
        loop {
            let Some(io) = &self.io else { return Poll::Ready(None) };
            let failure = match ready!(io.poll_recv(&self.codec, cx)) {
                Ok(Part::Data(data)) => return Poll::Ready(Some(Ok(data))),
                Ok(Part::End) => {
                    self.finish();
                    return Poll::Ready(None);
                }
                Err(RecvError::WriteBackpressure) => match ready!(io.poll_flush(cx, false)) {
                    Ok(()) => continue,
                    Err(_) => Failure::Closed,
                },
                Err(RecvError::Decoder(error)) => error.into(),
                Err(RecvError::KeepAlive | RecvError::PeerGone(_)) => Failure::Closed,
            };
            self.io = None;
            return Poll::Ready(Some(Err(failure)));
        }
    }

    /// Reads the whole body, or fails above `limit` bytes.
    pub(crate) async fn collect(mut self, limit: usize) -> Result<Bytes, Failure> {
        let mut whole = BytesMut::new();
        while let Some(data) = poll_fn(|cx| self.poll_next(cx)).await {
            whole.extend_from_slice(&data?);
            if whole.len() > limit {
                return Err(Failure::BodyTooLarge);
            }
        }
        Ok(whole.freeze())
    }

    /// Keeps the connection when nothing of this exchange is outstanding on it.
    fn finish(&mut self) {
        let Some(io) = self.io.take() else { return };
        if self.pump.take().is_some() {
            return;
        }
        let Some((pool, address)) = self.keep.take() else { return };
        let Ok(io) = Rc::try_unwrap(io) else { return };
        if !io.is_closed() && io.with_read_buf(|buffer| buffer.is_empty()) {
            pool.put(address, io);
        }
    }
}

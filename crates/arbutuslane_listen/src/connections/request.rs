//! A request on a counted connection.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use arbutuslane_limit::connections::RequestState;
use futures_util::future::{Either, select};
use ntex::http::Payload;
use ntex::http::error::PayloadError;
use ntex::util::{Bytes, Stream};

use super::{Connection, State};

/// What the framing of one part of a body may add to its bytes.
const FRAMING_BYTES: usize = 16;

/// What a peer may send for each part of a response that it reads, such as HTTP/2 window updates.
const READ_BYTES: usize = 64;

/// A request whose head has arrived, until it has its response.
#[derive(Debug)]
pub struct Request {
    pub(super) listener: Rc<State>,
    pub(super) connection: Rc<Connection>,
    /// Whether it has a place beside the first request of its connection.
    pub(super) is_extra: bool,
    /// `None` if it was refused when it began or rejected later, and is not counted any more.
    pub(super) state: Cell<Option<RequestState>>,
}

/// The connection of a request has given way to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GaveWay;

/// The body of a request, which counts the bytes that are taken from it.
struct Metered {
    payload: Payload,
    connection: Rc<Connection>,
}

impl Stream for Metered {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = ready!(self.payload.poll_recv(cx));
        if let Some(Ok(bytes)) = &next {
            self.connection.take(bytes.len() + FRAMING_BYTES);
            self.connection.hold(bytes.len());
        }
        Poll::Ready(next)
    }
}

impl Request {
    /// Returns a request for which there is no room.
    pub(super) fn refused(listener: &Rc<State>, connection: Rc<Connection>) -> Self {
        let listener = Rc::clone(listener);
        Self { listener, connection, is_extra: false, state: Cell::new(None) }
    }

    /// Lets other connections go first if the peer has sent further requests already. The library
    /// would serve all of them before any other connection.
    pub async fn take_turn(&self) {
        if self.connection.io.with_read_src_buf(|bytes| bytes.is_empty()) {
            return;
        }
        let mut has_yielded = false;
        poll_fn(|cx| {
            if std::mem::replace(&mut has_yielded, true) {
                return Poll::Ready(());
            }
            cx.waker().wake_by_ref();
            Poll::Pending
        })
        .await;
    }

    /// Returns whether the request was refused when it began.
    pub fn is_refused(&self) -> bool {
        self.state.get().is_none()
    }

    /// Returns the body of the request as `payload`, and counts the bytes that are taken from it.
    pub fn metered(&self, payload: Payload) -> Payload {
        match payload {
            Payload::None => Payload::None,
            payload => {
                Payload::from_stream(Metered { payload, connection: Rc::clone(&self.connection) })
            }
        }
    }

    /// Records that the peer has read a part of the response, for which HTTP/2 sends a few bytes.
    pub fn record_read(&self) {
        self.connection.take(READ_BYTES);
    }

    /// Accepts the request: from now on its connection does not give way.
    ///
    /// # Errors
    ///
    /// Fails if the connection has given way; the request must then be refused.
    pub fn accept(&self) -> Result<(), GaveWay> {
        match self.state.get() {
            Some(RequestState::Undecided) => {}
            Some(RequestState::Accepted | RequestState::Answered) => return Ok(()),
            None => return Err(GaveWay),
        }
        if self.connection.has_given_way.get()
            || !self.listener.table.borrow_mut().accept(self.connection.id)
        {
            return Err(GaveWay);
        }
        self.state.set(Some(RequestState::Accepted));
        self.connection.decide();
        Ok(())
    }

    /// Records that the request has its response, so that only its delivery keeps the connection.
    pub fn answer(&self) {
        if self.state.get() == Some(RequestState::Accepted) {
            self.state.set(Some(RequestState::Answered));
            self.listener.table.borrow_mut().answer(self.connection.id);
        }
    }

    /// Rejects the request: its response is ready, but the rest of its body is still read so that the
    /// sender gets the response. The connection gives way like one without a request.
    pub fn reject(&self) {
        if self.state.get() == Some(RequestState::Undecided) {
            self.end();
        }
    }

    /// Leaves it to another service to count the bytes of the connection.
    pub fn delegate(&self) {
        self.connection.is_delegated.set(true);
    }

    /// Stops to count the request.
    fn end(&self) {
        let Some(last) = self.state.take() else { return };
        let (listener, connection) = (&self.listener, &self.connection);
        if last == RequestState::Undecided {
            connection.decide();
        }
        if self.is_extra {
            connection.extra.update(|count| count - 1);
            listener.extra.update(|count| count - 1);
        }
        listener.table.borrow_mut().end(connection.id, last, listener.clock.now());
    }

    /// Waits until the connection gives way to another one.
    async fn gave_way(&self) -> GaveWay {
        poll_fn(|cx| {
            if self.state.get().is_none() || self.connection.has_given_way.get() {
                return Poll::Ready(GaveWay);
            }
            self.connection.add_waiting(cx.waker());
            Poll::Pending
        })
        .await
    }
}

/// Waits for `receiving`, the rest of `request`, unless its connection gives way to another one
/// before. A request that is not counted never gives way.
///
/// # Errors
///
/// Fails if the connection gives way.
pub async fn unless_given_way<T>(
    request: Option<&Request>,
    receiving: impl Future<Output = T>,
) -> Result<T, GaveWay> {
    let Some(request) = request else { return Ok(receiving.await) };
    match select(pin!(receiving), pin!(request.gave_way())).await {
        Either::Left((received, _)) => Ok(received),
        Either::Right((gave_way, _)) => Err(gave_way),
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.end();
    }
}

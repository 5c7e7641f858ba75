//! A request on a counted connection.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

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
    pub(super) state: Rc<State>,
    pub(super) connection: Rc<Connection>,
    /// Whether it has a place beside the first request of its connection.
    pub(super) is_extra: bool,
    pub(super) stage: Cell<Stage>,
}

/// What was decided about a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    Undecided,
    Accepted,
    /// It has its response, which is being delivered.
    Answered,
    /// It was refused when it began, or rejected later, and is not counted any more.
    Refused,
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
            self.connection.held.update(|held| held + bytes.len());
        }
        Poll::Ready(next)
    }
}

impl Request {
    /// Returns a request for which there is no room.
    pub(super) fn refused(state: &Rc<State>, connection: Rc<Connection>) -> Self {
        let state = Rc::clone(state);
        Self { state, connection, is_extra: false, stage: Cell::new(Stage::Refused) }
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
        self.stage.get() == Stage::Refused
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
        match self.stage.get() {
            Stage::Undecided => {}
            Stage::Accepted | Stage::Answered => return Ok(()),
            Stage::Refused => return Err(GaveWay),
        }
        if self.connection.has_given_way.get()
            || !self.state.table.borrow_mut().accept(self.connection.id)
        {
            return Err(GaveWay);
        }
        self.stage.set(Stage::Accepted);
        self.connection.undecided.update(|count| count - 1);
        self.connection.held.set(0);
        Ok(())
    }

    /// Records that the request has its response, so that only its delivery keeps the connection.
    pub fn answer(&self) {
        if self.stage.get() == Stage::Accepted {
            self.stage.set(Stage::Answered);
            self.state.table.borrow_mut().answer(self.connection.id);
        }
    }

    /// Rejects the request: its response is ready, but the rest of its body is still read so that the
    /// sender gets the response. The connection gives way like one without a request.
    pub fn reject(&self) {
        if self.stage.replace(Stage::Refused) != Stage::Undecided {
            return;
        }
        self.connection.undecided.update(|count| count - 1);
        self.leave_table(false);
    }

    /// Ends the request in the table of connections.
    fn leave_table(&self, was_accepted: bool) {
        let (state, id) = (&self.state, self.connection.id);
        if self.is_extra {
            self.connection.extra.update(|count| count - 1);
            state.extra.update(|count| count - 1);
        }
        state.table.borrow_mut().end(id, was_accepted, state.clock.now());
    }

    /// Waits until the connection gives way to another one.
    pub async fn gave_way(&self) -> GaveWay {
        poll_fn(|cx| {
            if self.stage.get() == Stage::Refused || self.connection.has_given_way.get() {
                return Poll::Ready(GaveWay);
            }
            self.connection.add_waiting(cx.waker());
            Poll::Pending
        })
        .await
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        match self.stage.get() {
            Stage::Refused => return,
            Stage::Undecided => self.connection.undecided.update(|count| count - 1),
            Stage::Accepted | Stage::Answered => {}
        }
        self.leave_table(self.stage.get() == Stage::Accepted);
    }
}

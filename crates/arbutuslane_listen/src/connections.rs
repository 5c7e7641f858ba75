//! The connections of one listener in one thread, and the requests on them.

mod request;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::Waker;

use arbutuslane_core::time::{Clock, Time};
use arbutuslane_limit::connections::{Opening, RequestState, Table, Use};
use ntex::io::{Id, IoRef};

use crate::budget::MAX_HEAD_BYTES;

pub use request::{GaveWay, Request, unless_given_way};

/// The connections that may be open beyond the limit until their requests have been refused: one
/// in this many.
const REFUSING_DIVISOR: usize = 8;

/// The part of the places for further requests that one connection may have: one in this many.
const EXTRA_SHARE_DIVISOR: usize = 4;

/// The fewest further requests that one connection may have.
const MIN_EXTRA: usize = 16;

/// The most bytes that may have arrived on a connection and that no request has taken: what the
/// buffers of the library hold, heads of requests without room, and messages of the protocol itself.
const MAX_UNTAKEN_BYTES: usize = 192 << 10;

/// The most requests of one connection that wait for their bodies.
const MAX_UNDECIDED: u32 = 8;

/// How many connections were closed because there was no room for them, over all threads.
#[derive(Debug, Default)]
pub struct Counters {
    /// The connections that gave way to others.
    pub replaced: AtomicU64,
    /// The new connections that found all others in use.
    pub refused: AtomicU64,
}

/// The connections of one listener in one thread.
#[derive(Debug, Clone)]
pub struct Connections {
    state: Rc<State>,
}

#[derive(Debug)]
struct State {
    clock: Clock,
    table: RefCell<Table<Id>>,
    /// The open connections, in the order of their ids.
    open: RefCell<Vec<Rc<Connection>>>,
    /// The connections that have given way, and whose requests are being refused.
    refusing: Cell<usize>,
    /// The requests in progress on all connections, beyond the first of each.
    extra: Cell<usize>,
    /// The most of them.
    extra_limit: usize,
    counters: Arc<Counters>,
}

/// One connection.
#[derive(Debug)]
struct Connection {
    id: Id,
    io: IoRef,
    has_given_way: Cell<bool>,
    /// Whether the connection stays open until its requests have been refused.
    is_refusing: Cell<bool>,
    /// The requests that wait for their bodies, to be woken when the connection gives way.
    waiting: RefCell<Vec<Waker>>,
    /// The requests that were not accepted yet.
    undecided: Cell<u32>,
    /// The requests that have begun and have no response yet, beyond the first.
    extra: Cell<usize>,
    /// Whether another service counts the connection and its bytes from now on.
    is_delegated: Cell<bool>,
    /// The bytes that have arrived and that no request has taken.
    untaken: Cell<usize>,
    /// The bytes that requests have taken since all earlier ones were decided on.
    held: Cell<usize>,
    /// The bytes for the peer that were to be sent when last looked, and since when there are so many.
    unread: Cell<usize>,
    unread_since: Cell<Time>,
}

/// An open connection, which is counted until this value is dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    state: Rc<State>,
    connection: Rc<Connection>,
}

impl Connections {
    /// Returns no connections, with room for `limit`, and for as many requests beside the first one
    /// of each connection.
    pub fn new(limit: usize, counters: Arc<Counters>) -> Self {
        Self::with_extra(limit, limit, counters)
    }

    /// Returns no connections, with room for `limit`, and for `extra_limit` requests beside the first one
    /// of each connection.
    pub fn with_extra(limit: usize, extra_limit: usize, counters: Arc<Counters>) -> Self {
        let state = State {
            extra_limit,
            clock: Clock::start(),
            table: RefCell::new(Table::new(limit)),
            open: RefCell::default(),
            refusing: Cell::new(0),
            extra: Cell::new(0),
            counters,
        };
        Self { state: Rc::new(state) }
    }

    /// Adds a connection, and closes the one that gives way to it. Returns `None` if there is no
    /// room.
    pub(crate) fn open(&self, io: IoRef) -> Option<OpenConnection> {
        let state = &self.state;
        let id = io.id();
        let now = state.clock.now();
        let use_of = |other: Id| match state.find(other) {
            Some(connection) => connection.current_use(now),
            None => Use::default(),
        };
        let opening = state.table.borrow_mut().open(id, now, use_of);
        match opening {
            Opening::Added => {}
            Opening::Replaced(other) => {
                state.counters.replaced.fetch_add(1, Ordering::Relaxed);
                state.give_way(other);
            }
            Opening::Refused => {
                state.counters.refused.fetch_add(1, Ordering::Relaxed);
                return None;
            }
        }
        let connection = Rc::new(Connection {
            id,
            io,
            has_given_way: Cell::new(false),
            is_refusing: Cell::new(false),
            waiting: RefCell::default(),
            undecided: Cell::new(0),
            extra: Cell::new(0),
            is_delegated: Cell::new(false),
            untaken: Cell::new(0),
            held: Cell::new(0),
            unread: Cell::new(0),
            unread_since: Cell::new(now),
        });
        let mut open = state.open.borrow_mut();
        match open.binary_search_by_key(&id, |known| known.id) {
            Ok(index) => open[index] = Rc::clone(&connection),
            Err(index) => open.insert(index, Rc::clone(&connection)),
        }
        Some(OpenConnection { state: Rc::clone(state), connection })
    }

    /// Records that the head of a request has arrived on the connection `io`; returns `None` for a
    /// connection that is not counted.
    ///
    /// One request of each connection has room. Those beside it, which HTTP/2 and pipelining allow,
    /// share a number of places; a request without a place cannot be accepted.
    pub fn begin(&self, io: &IoRef) -> Option<Request> {
        let connection = self.state.find(io.id())?;
        let begun = self.state.begin(&connection);
        Some(begun.unwrap_or_else(|| Request::refused(&self.state, connection)))
    }

    /// Begins a request as [`begin`](Self::begin) does, or returns `None` if there is no room for
    /// it, so that it has to wait.
    pub fn try_begin(&self, io: &IoRef) -> Option<Request> {
        let connection = self.state.find(io.id())?;
        self.state.begin(&connection)
    }
}

impl State {
    /// Begins a request on `connection`, or returns `None` if there is no room for it.
    fn begin(self: &Rc<Self>, connection: &Rc<Connection>) -> Option<Request> {
        let is_extra = self.table.borrow().begun(connection.id) > 0;
        let has_room = connection.undecided.get() < MAX_UNDECIDED
            && (!is_extra || self.has_room_for_extra(connection))
            && self.table.borrow_mut().begin(connection.id, self.clock.now());
        if !has_room {
            return None;
        }
        connection.take(MAX_HEAD_BYTES);
        if is_extra {
            connection.extra.update(|count| count + 1);
            self.extra.update(|count| count + 1);
        }
        connection.undecided.update(|count| count + 1);
        Some(Request {
            listener: Rc::clone(self),
            connection: Rc::clone(connection),
            is_extra,
            state: Cell::new(Some(RequestState::Undecided)),
        })
    }

    /// Returns whether another request beside the first one has room on `connection`.
    fn has_room_for_extra(&self, connection: &Connection) -> bool {
        let share = (self.extra_limit / EXTRA_SHARE_DIVISOR).max(MIN_EXTRA);
        self.extra.get() < self.extra_limit && connection.extra.get() < share
    }

    fn find(&self, id: Id) -> Option<Rc<Connection>> {
        let open = self.open.borrow();
        let index = open.binary_search_by_key(&id, |known| known.id).ok()?;
        Some(Rc::clone(&open[index]))
    }

    /// Closes a connection. Requests that wait for their bodies are refused first, unless that is
    /// still under way for many others.
    fn give_way(&self, id: Id) {
        let Some(connection) = self.find(id) else { return };
        connection.has_given_way.set(true);
        let max_refusing = self.table.borrow().limit() / REFUSING_DIVISOR;
        if connection.undecided.get() == 0 || self.refusing.get() >= max_refusing {
            connection.io.terminate();
            return;
        }
        connection.is_refusing.set(true);
        self.refusing.update(|count| count + 1);
        connection.waiting.take().into_iter().for_each(Waker::wake);
    }
}

impl Connection {
    fn current_use(&self, now: Time) -> Use {
        let bytes = self.io.with_write_dst_buf(|bytes| bytes.len());
        if bytes != self.unread.replace(bytes) {
            self.unread_since.set(now);
        }
        let unread_for = now.saturating_sub(self.unread_since.get());
        Use { held: self.held.get(), unread_for: (bytes > 0).then_some(unread_for) }
    }

    /// Records that `bytes` of those that have arrived were taken.
    fn take(&self, bytes: usize) {
        self.untaken.update(|untaken| untaken.saturating_sub(bytes));
    }

    /// Records that a request has taken `bytes`, which this process holds until it has decided on
    /// the request.
    fn hold(&self, bytes: usize) {
        if self.undecided.get() > 0 {
            self.held.update(|held| held + bytes);
        }
    }

    /// Records that a request was accepted, or has ended without that.
    fn decide(&self) {
        self.undecided.update(|count| count - 1);
        if self.undecided.get() == 0 {
            self.held.set(0);
        }
    }

    fn add_waiting(&self, waker: &Waker) {
        let mut waiting = self.waiting.borrow_mut();
        if !waiting.iter().any(|known| known.will_wake(waker)) {
            waiting.push(waker.clone());
        }
    }
}

impl OpenConnection {
    /// Records that `bytes` have arrived, and closes the connection if no request takes them.
    pub(crate) fn record_arrived(&self, bytes: usize) {
        if self.connection.is_delegated.get() {
            return;
        }
        self.connection.untaken.update(|untaken| untaken + bytes);
        if self.connection.untaken.get() > MAX_UNTAKEN_BYTES {
            self.connection.io.terminate();
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let (state, id) = (&self.state, self.connection.id);
        if self.connection.is_refusing.get() {
            state.refusing.update(|count| count - 1);
        }
        let mut open = state.open.borrow_mut();
        let index = open.binary_search_by_key(&id, |known| known.id);
        // A later connection may have got the same id.
        let Ok(index) = index else { return };
        if !Rc::ptr_eq(&open[index], &self.connection) {
            return;
        }
        open.remove(index);
        state.table.borrow_mut().close(id);
    }
}

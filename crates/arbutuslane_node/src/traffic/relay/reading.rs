//! Reads the body of a response from its server, independently of its reader.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use ntex::io::IoRef;
use ntex::time::{Millis, Sleep, sleep};
use ntex::util::Bytes;

use arbutuslane_core::time::Time;
use arbutuslane_limit::body_watch::{Blocked, BodyWatch, Reason, Step};
use arbutuslane_limit::memory::Reservation;
use arbutuslane_listen::config::WRITE_BUFFER_BYTES;

use super::held::{self, HeldResponse};
use super::{BodySource, InFlight};
use crate::metrics::count;
use crate::shared::Shared;
use crate::traffic::client::Failure;

/// The bytes of a response that are held without a part of the memory for bodies, which leaves room
/// for one such buffer for each connection. The end of a shorter body is seen at once.
const FREE_BYTES: usize = 32 << 10;

/// The most bytes of one response that are read ahead of its reader after the deadline.
const MAX_LATE_BYTES: usize = 1 << 20;

/// The part of the memory for bodies that one body without a stated length may use: one in this
/// many. A body without end would otherwise use all of it until its deadline.
const UNKNOWN_LENGTH_DIVISOR: usize = 4;

/// What a chunk needs beside its bytes, so that very short chunks are bounded as well.
const CHUNK_OVERHEAD_BYTES: usize = 64;

/// How often a response that is held for a slow reader looks for memory, and whether it was cut for
/// another one.
const HELD_INTERVAL: Duration = Duration::from_millis(100);

/// The bytes of a response that its reader has not taken yet.
pub(super) struct Buffer {
    chunks: VecDeque<Bytes>,
    bytes: usize,
    /// The part of the memory for bodies that is used beyond [`FREE_BYTES`].
    reservation: Reservation,
    /// Set while the response waits for its reader, and may have to give way to others.
    held: Option<HeldResponse>,
    /// Set while the response occupies a slot of a server of this node for its reader.
    slot: Option<HeldResponse>,
    is_idempotent: bool,
    /// How the body ended, until the reader takes it.
    end: Option<Result<(), Failure>>,
    read_at: Time,
    /// The number of bytes that the reader has taken.
    taken: usize,
    /// Whether the reader has gone.
    is_dropped: bool,
    /// Counts the request as in flight until the reader has taken the end, or the body is cut.
    in_flight: Option<InFlight>,
    reader: Option<Waker>,
    reading: Option<Waker>,
}

/// Reads a body until its end, until its reader has gone or until it is cut.
///
/// The server library asks for the bytes of a body only while it can send them. A body that was
/// read only then would keep its server's slot as long as its reader takes nothing.
pub(super) struct Reading {
    /// `None` after the body has ended.
    source: Option<Box<dyn BodySource>>,
    buffer: Rc<RefCell<Buffer>>,
    watch: BodyWatch,
    /// The most bytes that may be held before the deadline.
    max_buffered_bytes: usize,
    timer: Sleep,
    shared: Arc<Shared>,
    /// The connection of the reader, unless the body is one of several on it.
    io: Option<IoRef>,
    request: String,
}

impl Buffer {
    /// Returns the buffer of a body that starts at `now`.
    pub(super) fn new(
        shared: &Arc<Shared>,
        in_flight: InFlight,
        is_idempotent: bool,
        now: Time,
    ) -> Self {
        Self {
            chunks: VecDeque::new(),
            bytes: 0,
            reservation: shared.body_memory.reserve(),
            held: None,
            slot: None,
            is_idempotent,
            end: None,
            read_at: now,
            taken: 0,
            is_dropped: false,
            in_flight: Some(in_flight),
            reader: None,
            reading: None,
        }
    }

    /// Takes the next bytes, or the end of the body.
    pub(super) fn poll_take(
        &mut self,
        now: Time,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Failure>>> {
        self.read_at = now;
        if let Some(chunk) = self.chunks.pop_front() {
            self.in_flight.iter().for_each(InFlight::record_read);
            self.taken += chunk.len();
            self.bytes -= chunk.len() + CHUNK_OVERHEAD_BYTES;
            let unused = self.reservation.bytes().saturating_sub(self.reserved_bytes());
            self.reservation.shrink(unused);
            match self.bytes < FREE_BYTES {
                true => (self.held, self.slot) = (None, None),
                false => {
                    let held = self.held.iter().chain(&self.slot);
                    held.for_each(|held| held.record_read(now));
                }
            }
            wake(&mut self.reading);
            return Poll::Ready(Some(Ok(chunk)));
        }
        let Some(end) = self.end.take() else {
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        };
        if let Some(in_flight) = self.in_flight.take() {
            in_flight.finish();
        }
        Poll::Ready(end.err().map(Err))
    }

    /// Releases the buffer of a body whose reader has gone.
    pub(super) fn abandon(&mut self) {
        self.is_dropped = true;
        self.clear();
        self.in_flight = None;
        wake(&mut self.reading);
    }

    fn push(&mut self, chunk: Bytes) {
        self.bytes += chunk.len() + CHUNK_OVERHEAD_BYTES;
        self.chunks.push_back(chunk);
        wake(&mut self.reader);
    }

    /// Reserves the memory for the bytes that the buffer holds; returns false if it is used up.
    fn reserve(&mut self) -> bool {
        let missing = self.reserved_bytes().saturating_sub(self.reservation.bytes());
        self.reservation.grow(missing)
    }

    fn clear(&mut self) {
        self.chunks.clear();
        self.bytes = 0;
        (self.held, self.slot) = (None, None);
        self.reservation.shrink(usize::MAX);
    }

    fn set_end(&mut self, end: Result<(), Failure>) {
        self.end = Some(end);
        wake(&mut self.reader);
    }

    /// Returns the number of bytes that need a part of the memory for bodies.
    fn reserved_bytes(&self) -> usize {
        self.bytes.saturating_sub(FREE_BYTES)
    }
}

impl Reading {
    /// Returns the reading of `source`, which has to end by the times of `watch`.
    pub(super) fn new(
        source: Box<dyn BodySource>,
        buffer: Rc<RefCell<Buffer>>,
        watch: BodyWatch,
        shared: Arc<Shared>,
        io: Option<IoRef>,
        request: String,
    ) -> Self {
        let timer = sleep(Millis::ONE_SEC);
        let max_buffered_bytes = match source.length() {
            Some(_) => usize::MAX,
            None => shared.body_memory.limit() / UNKNOWN_LENGTH_DIVISOR,
        };
        Self { source: Some(source), buffer, watch, max_buffered_bytes, timer, shared, io, request }
    }

    /// Reads what the server has sent; continues in the background unless the body has ended.
    pub(super) fn start(mut self) {
        if self.poll(&mut Context::from_waker(Waker::noop())).is_pending() {
            ntex::rt::spawn(poll_fn(move |cx| self.poll(cx)));
        }
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            let now = self.shared.clock.now();
            let Some((read_at, blocked)) = self.check_buffer(now, cx) else {
                return Poll::Ready(());
            };
            if blocked == Blocked::ByServer
                && let Some(source) = &mut self.source
                && let Poll::Ready(next) = source.poll_next(cx)
            {
                match next {
                    Some(Ok(chunk)) => {
                        self.watch.record_received(now);
                        self.buffer.borrow_mut().push(chunk);
                    }
                    Some(Err(failure)) => self.end(Err(failure)),
                    None => self.end(Ok(())),
                }
                continue;
            }
            let mut until = now + HELD_INTERVAL;
            if self.source.is_some() {
                match self.watch.step(blocked, read_at, now) {
                    Step::Wait(end) if self.buffer.borrow().held.is_none() => until = end,
                    Step::Wait(end) => until = until.min(end),
                    Step::Cut(reason) => {
                        self.cut(reason.into(), now);
                        return Poll::Ready(());
                    }
                }
            }
            let wait = Millis::from(until.saturating_sub(now));
            self.timer.reset(if wait.is_zero() { Millis(1) } else { wait });
            if self.timer.poll_elapsed(cx).is_pending() {
                return Poll::Pending;
            }
        }
    }

    /// Returns when the reader last took bytes and what the body waits for, or `None` if nothing is
    /// left to do.
    fn check_buffer(&mut self, now: Time, cx: &mut Context<'_>) -> Option<(Time, Blocked)> {
        let mut buffer = self.buffer.borrow_mut();
        if buffer.is_dropped {
            return None;
        }
        if buffer.held.iter().chain(&buffer.slot).any(HeldResponse::is_cut) {
            drop(buffer);
            count(&self.shared.metrics.cut_for_memory);
            self.cut(Failure::MemoryUsedUp, now);
            return None;
        }
        // A response that has ended and uses no memory for bodies cannot be cut any more.
        if self.source.is_none() && buffer.held.is_none() {
            return None;
        }
        buffer.reading = Some(cx.waker().clone());
        let blocked = match self.has_room(&mut buffer, now) {
            true => Blocked::ByServer,
            false => Blocked::ByReader,
        };
        Some((buffer.read_at, blocked))
    }

    /// Returns whether more bytes may be read. While the memory for bodies is used up, the response
    /// whose reader has taken nothing for the longest time is cut.
    fn has_room(&self, buffer: &mut Buffer, now: Time) -> bool {
        let is_buffered = self.shared.settings.buffer_responses;
        let is_late = self.watch.reads_ahead(now) && buffer.bytes < MAX_LATE_BYTES;
        if buffer.bytes >= FREE_BYTES && buffer.held.is_none() {
            let held =
                HeldResponse::new(&self.shared.slow_readers, buffer.is_idempotent, buffer.read_at);
            buffer.held = Some(held);
        }
        if buffer.held.is_some() {
            held::cut_beyond_limit(&self.shared);
        }
        if buffer.bytes >= FREE_BYTES
            && let Some(server) = self.source.as_ref().and_then(|source| source.server())
        {
            let (is_idempotent, read_at) = (buffer.is_idempotent, buffer.read_at);
            let add = || HeldResponse::new(&server.unread, is_idempotent, read_at);
            buffer.slot.get_or_insert_with(add);
            held::cut_at_full_server(server, now);
        }
        if !is_late && (!is_buffered || buffer.bytes >= self.max_buffered_bytes) {
            return buffer.bytes < FREE_BYTES;
        }
        let is_reserved = buffer.reserve();
        if !is_reserved && is_buffered {
            held::cut_slowest(&self.shared);
        }
        is_reserved || buffer.bytes < FREE_BYTES
    }

    /// Releases the server's slot, and tells the reader how the body ended.
    fn end(&mut self, end: Result<(), Failure>) {
        self.source = None;
        let mut buffer = self.buffer.borrow_mut();
        buffer.slot = None;
        buffer.set_end(end);
    }

    /// Ends the body as incomplete, and releases its slot, its memory and its connections.
    fn cut(&mut self, failure: Failure, now: Time) {
        self.source = None;
        let mut buffer = self.buffer.borrow_mut();
        tracing::info!(
            event = "response-cut",
            request = self.request,
            reason = %failure,
            buffered_bytes = buffer.bytes,
            unread_ms = u64::try_from(now.saturating_sub(buffer.read_at).as_millis()).ok()
        );
        buffer.clear();
        buffer.set_end(Err(failure));
        if let Some(in_flight) = buffer.in_flight.take() {
            in_flight.finish();
        }
        let is_alone = buffer.taken > WRITE_BUFFER_BYTES;
        drop(buffer);
        // Before that, bytes of an earlier response may still be in the connection's buffer. The
        // reader then gets the failure when it asks for more bytes.
        if let Some(io) = self.io.as_ref().filter(|_| is_alone) {
            count(&self.shared.metrics.truncated);
            io.terminate();
        }
    }
}

impl From<Reason> for Failure {
    fn from(reason: Reason) -> Self {
        match reason {
            Reason::Stalled => Self::Stalled,
            Reason::Unread => Self::Unread,
            Reason::Late => Self::Deadline,
        }
    }
}

fn wake(waker: &mut Option<Waker>) {
    if let Some(waker) = waker.take() {
        waker.wake();
    }
}

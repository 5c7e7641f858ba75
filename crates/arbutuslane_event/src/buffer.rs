//! A bounded buffer of the recent events of one process.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use crate::clock::{self, Clock, Stamp};
use crate::event::{Draft, Event};
use crate::log;

/// Stores the most recent events of one process for `/v1/events`; shared between threads.
#[derive(Debug)]
pub struct Buffer {
    instance: String,
    capacity: usize,
    started_ms: u64,
    clock: Clock,
    inner: Mutex<Inner>,
}

/// Events after a sequence number, as `/v1/events?since=` returns them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The instance that recorded the events.
    pub instance: String,
    /// When the process started, in milliseconds since 1970-01-01 UTC.
    ///
    /// Sequence numbers start from 1 again after a restart.
    pub started_ms: u64,
    /// The value of `since` for the next request: the highest sequence number so far.
    pub next: u64,
    /// The number of requested events that were no longer in the buffer.
    pub dropped: u64,
    /// The events, in ascending order of their sequence numbers.
    pub events: Vec<Event>,
}

#[derive(Debug, Default)]
struct Inner {
    last_sequence: u64,
    events: VecDeque<Event>,
}

impl Buffer {
    /// Returns an empty buffer of `instance` that stores up to `capacity` events, at least one.
    pub fn new(instance: impl Into<String>, capacity: usize) -> Self {
        Self {
            instance: instance.into(),
            capacity: capacity.max(1),
            started_ms: clock::wall_ms(),
            clock: Clock::default(),
            inner: Mutex::default(),
        }
    }

    /// Stamps the event, stores it and writes it to the log.
    pub fn record(&self, draft: impl Into<Draft>) -> Event {
        let draft = draft.into();
        let event = {
            // The lock is held while the clock ticks, so that sequence numbers and stamps have the
            // same order.
            let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
            inner.last_sequence += 1;
            let event = Event {
                stamp: self.clock.tick(clock::wall_ms()),
                instance: self.instance.clone(),
                sequence: inner.last_sequence,
                service: draft.service,
                server: draft.server,
                kind: draft.kind,
            };
            if inner.events.len() == self.capacity {
                inner.events.pop_front();
            }
            inner.events.push_back(event.clone());
            event
        };
        log::write(&event);
        event
    }

    /// Advances the clock and returns the stamp of a message to another process.
    pub fn stamp(&self) -> Stamp {
        self.clock.tick(clock::wall_ms())
    }

    /// Advances the clock past the stamp of a message from another process.
    pub fn observe(&self, remote: Stamp) {
        self.clock.observe(clock::wall_ms(), remote);
    }

    /// Returns the events with a sequence number above `since`.
    pub fn events_since(&self, since: u64) -> Page {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let oldest = inner.events.front().map_or(inner.last_sequence + 1, |event| event.sequence);
        Page {
            instance: self.instance.clone(),
            started_ms: self.started_ms,
            next: inner.last_sequence,
            dropped: oldest.saturating_sub(since.saturating_add(1)),
            events: inner.events.iter().filter(|event| event.sequence > since).cloned().collect(),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::kind::Kind;

    /// Guards against a buffer that grows without bound or hides that it dropped events.
    #[test]
    fn since_overflow() {
        let buffer = Buffer::new("node-1", 3);
        for revision in 1..=5 {
            buffer.record(Kind::RevisionInForce { revision });
        }
        let page = buffer.events_since(0);
        assert_eq!((page.dropped, page.next, page.events.len()), (2, 5, 3));
        assert_eq!(page.events[0].sequence, 3);
        let rest = buffer.events_since(4);
        assert_eq!((rest.dropped, rest.events.len()), (0, 1));
        assert_eq!(buffer.events_since(9).dropped, 0);
    }

    /// Guards against a receiver that stamps the receipt of a message before its sending: the
    /// sender's clock is 20 s ahead.
    #[test]
    fn observe_orders_receipt() {
        let (sender, receiver) = (Buffer::new("a", 4), Buffer::new("b", 4));
        let mut sent = sender.stamp();
        sent.wall_ms += 20_000;
        receiver.observe(sent);
        assert!(receiver.record(Kind::RevisionInForce { revision: 1 }).stamp > sent);
    }
}

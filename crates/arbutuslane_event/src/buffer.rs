//! The bounded memory of a process's recent events.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

use crate::clock::{self, Clock, Stamp};
use crate::event::{Draft, Event};
use crate::log;

/// Keeps the most recent events of one process for `/v1/events`; shared between threads.
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
    /// When the process started; after a restart, sequence numbers begin anew.
    pub started_ms: u64,
    /// The sequence number to ask from next time.
    pub next: u64,
    /// Events asked for that the buffer no longer held.
    pub dropped: u64,
    /// The events in the order of their sequence numbers.
    pub events: Vec<Event>,
}

#[derive(Debug, Default)]
struct Inner {
    last: u64,
    events: VecDeque<Event>,
}

impl Buffer {
    /// Returns an empty buffer of `instance` that keeps `capacity` events.
    pub fn new(instance: impl Into<String>, capacity: usize) -> Self {
        Self {
            instance: instance.into(),
            capacity: capacity.max(1),
            started_ms: clock::wall_ms(),
            clock: Clock::default(),
            inner: Mutex::default(),
        }
    }

    /// Stamps the event, keeps it and writes it to the log.
    pub fn record(&self, draft: impl Into<Draft>) -> Event {
        let draft = draft.into();
        let event = {
            // The stamp is taken under the lock, so that sequence and stamp have the same order.
            let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
            inner.last += 1;
            let event = Event {
                stamp: self.clock.tick(clock::wall_ms()),
                instance: self.instance.clone(),
                sequence: inner.last,
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

    /// Returns a stamp for a message to another process.
    pub fn stamp(&self) -> Stamp {
        self.clock.tick(clock::wall_ms())
    }

    /// Takes note of the stamp on a message from another process.
    pub fn observe(&self, remote: Stamp) {
        self.clock.observe(clock::wall_ms(), remote);
    }

    /// Returns the events with a sequence number above `since`.
    pub fn since(&self, since: u64) -> Page {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let first = inner.events.front().map_or(inner.last + 1, |event| event.sequence);
        Page {
            instance: self.instance.clone(),
            started_ms: self.started_ms,
            next: inner.last,
            dropped: first.saturating_sub(since.saturating_add(1)),
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
        let page = buffer.since(0);
        assert_eq!((page.dropped, page.next, page.events.len()), (2, 5, 3));
        assert_eq!(page.events[0].sequence, 3);
        let rest = buffer.since(4);
        assert_eq!((rest.dropped, rest.events.len()), (0, 1));
        assert_eq!(buffer.since(9).dropped, 0);
    }

    /// Guards against a receipt that is stamped before the message that caused it.
    #[test]
    fn observe_orders_receipt() {
        let (sender, receiver) = (Buffer::new("a", 4), Buffer::new("b", 4));
        let mut sent = sender.stamp();
        sent.wall_ms += 20_000;
        receiver.observe(sent);
        assert!(receiver.record(Kind::RevisionInForce { revision: 1 }).stamp > sent);
    }
}

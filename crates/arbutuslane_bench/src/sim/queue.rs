//! The event queue and the storage of requests and attempts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use arbutuslane_balance::candidate::Serving;
use arbutuslane_core::time::Time;

/// An event of the simulation. The numbers are indices of requests, attempts or servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrival,
    Resend(usize),
    Hedge(usize),
    ReachedOwner(usize),
    ServiceEnded(usize),
    ReachedEntry(usize),
    ClaimPermit(usize),
    Tick,
    RenewPermits,
    /// The state of a server as it reaches the entries; [`Event::decode_serving`] decodes `serving`.
    ServingUpdate {
        server: usize,
        serving: u8,
    },
}

impl Event {
    pub(super) fn serving_update(server: usize, serving: Serving) -> Self {
        let serving = match serving {
            Serving::Open => 0,
            Serving::Ejected => 1,
            Serving::Draining => 2,
        };
        Self::ServingUpdate { server, serving }
    }

    pub(super) fn decode_serving(code: u8) -> Serving {
        match code {
            0 => Serving::Open,
            1 => Serving::Ejected,
            _ => Serving::Draining,
        }
    }
}

/// Events ordered by time; events at the same time keep their insertion order.
#[derive(Debug, Default)]
pub(super) struct Queue {
    heap: BinaryHeap<Reverse<(Time, u64, Event)>>,
    last_sequence: u64,
}

impl Queue {
    pub(super) fn push(&mut self, at: Time, event: Event) {
        self.last_sequence += 1;
        self.heap.push(Reverse((at, self.last_sequence, event)));
    }

    pub(super) fn pop(&mut self) -> Option<(Time, Event)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}

/// A list that reuses the indices of removed items.
#[derive(Debug)]
pub(super) struct Slab<T> {
    items: Vec<T>,
    free_indices: Vec<usize>,
}

impl<T> Slab<T> {
    pub(super) fn new() -> Self {
        Self { items: Vec::new(), free_indices: Vec::new() }
    }

    pub(super) fn insert(&mut self, item: T) -> usize {
        if let Some(index) = self.free_indices.pop() {
            self.items[index] = item;
            return index;
        }
        self.items.push(item);
        self.items.len() - 1
    }

    pub(super) fn remove(&mut self, index: usize) {
        self.free_indices.push(index);
    }

    pub(super) fn get(&mut self, index: usize) -> &mut T {
        &mut self.items[index]
    }
}

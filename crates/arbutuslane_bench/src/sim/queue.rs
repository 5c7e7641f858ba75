//! The event queue and the storage of requests and attempts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use arbutuslane_balance::candidate::Serving;
use arbutuslane_core::time::Time;

/// What happens at a point in time; the numbers are places in slabs and lists.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrival,
    Resend(usize),
    Hedge(usize),
    AtOwner(usize),
    End(usize),
    AtEntry(usize),
    Claim(usize),
    Tick,
    Renewal,
    Gossip { server: usize, serving: u8 },
}

impl Event {
    pub(super) fn gossip(server: usize, serving: Serving) -> Self {
        let serving = match serving {
            Serving::Open => 0,
            Serving::Ejected => 1,
            Serving::Draining => 2,
        };
        Self::Gossip { server, serving }
    }

    pub(super) fn serving(number: u8) -> Serving {
        match number {
            0 => Serving::Open,
            1 => Serving::Ejected,
            _ => Serving::Draining,
        }
    }
}

/// Events in the order of their time, and of their insertion within the same time.
#[derive(Debug, Default)]
pub(super) struct Queue {
    heap: BinaryHeap<Reverse<(Time, u64, Event)>>,
    inserted: u64,
}

impl Queue {
    pub(super) fn push(&mut self, at: Time, event: Event) {
        self.inserted += 1;
        self.heap.push(Reverse((at, self.inserted, event)));
    }

    pub(super) fn pop(&mut self) -> Option<(Time, Event)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}

/// A list whose free places are used again.
#[derive(Debug)]
pub(super) struct Slab<T> {
    items: Vec<T>,
    free: Vec<usize>,
}

impl<T> Slab<T> {
    pub(super) fn new() -> Self {
        Self { items: Vec::new(), free: Vec::new() }
    }

    pub(super) fn insert(&mut self, item: T) -> usize {
        if let Some(place) = self.free.pop() {
            self.items[place] = item;
            return place;
        }
        self.items.push(item);
        self.items.len() - 1
    }

    pub(super) fn remove(&mut self, place: usize) {
        self.free.push(place);
    }

    pub(super) fn get(&mut self, place: usize) -> &mut T {
        &mut self.items[place]
    }
}

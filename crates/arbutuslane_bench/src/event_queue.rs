//! The event queue of a simulation, and the storage of what its events refer to.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use arbutuslane_core::time::Time;

/// Events ordered by time; events at the same time keep their insertion order.
#[derive(Debug)]
pub(crate) struct Queue<E: Ord> {
    heap: BinaryHeap<Reverse<(Time, u64, E)>>,
    last_sequence: u64,
}

impl<E: Ord> Default for Queue<E> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), last_sequence: 0 }
    }
}

impl<E: Ord> Queue<E> {
    pub(crate) fn push(&mut self, at: Time, event: E) {
        self.last_sequence += 1;
        self.heap.push(Reverse((at, self.last_sequence, event)));
    }

    pub(crate) fn pop(&mut self) -> Option<(Time, E)> {
        self.heap.pop().map(|Reverse((at, _, event))| (at, event))
    }
}

/// A list that reuses the indices of removed items.
#[derive(Debug)]
pub(crate) struct Slab<T> {
    items: Vec<T>,
    free_indices: Vec<usize>,
}

impl<T> Slab<T> {
    pub(crate) fn new() -> Self {
        Self { items: Vec::new(), free_indices: Vec::new() }
    }

    pub(crate) fn insert(&mut self, item: T) -> usize {
        if let Some(index) = self.free_indices.pop() {
            self.items[index] = item;
            return index;
        }
        self.items.push(item);
        self.items.len() - 1
    }

    pub(crate) fn remove(&mut self, index: usize) {
        self.free_indices.push(index);
    }

    pub(crate) fn get(&mut self, index: usize) -> &mut T {
        &mut self.items[index]
    }
}

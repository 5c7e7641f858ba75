//! The memory in which a node holds bodies.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The number of bytes in a megabyte of the settings.
pub const BYTES_PER_MEGABYTE: usize = 1 << 20;

/// A limit on the bytes of the bodies that a node holds, over all requests and threads.
///
/// A held request body can be sent to another server when the first one refuses it, and a slow
/// sender does not occupy a slot while it is received. The limit applies to all bodies together: a
/// limit for each body bounds nothing when many callers send at once.
///
/// ```
/// use arbutuslane_limit::memory::Memory;
///
/// let memory = Memory::new(100);
/// let mut first = memory.reserve();
/// assert!(first.grow(80));
/// let mut second = memory.reserve();
/// assert!(!second.grow(30));
/// drop(first);
/// assert!(second.grow(30));
/// ```
#[derive(Debug)]
pub struct Memory {
    limit: usize,
    used: AtomicUsize,
}

/// The part of a [`Memory`] that one body uses; dropping it releases the part.
#[derive(Debug)]
pub struct Reservation {
    memory: Arc<Memory>,
    bytes: usize,
}

impl Memory {
    /// Returns an unused memory of `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, used: AtomicUsize::new(0) })
    }

    /// Returns a reservation of no bytes.
    pub fn reserve(self: &Arc<Self>) -> Reservation {
        Reservation { memory: Arc::clone(self), bytes: 0 }
    }

    /// Returns the number of bytes that may be held.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes that are held.
    pub fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

impl Reservation {
    /// Adds `bytes` to the reservation, or returns false and leaves it unchanged if that would
    /// exceed the limit.
    #[must_use]
    pub fn grow(&mut self, bytes: usize) -> bool {
        let limit = self.memory.limit;
        let add = |used: usize| used.checked_add(bytes).filter(|used| *used <= limit);
        let is_within_limit =
            self.memory.used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok();
        if is_within_limit {
            self.bytes += bytes;
        }
        is_within_limit
    }

    /// Releases `bytes` of the reservation, or all of it if it is smaller.
    pub fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.memory.used.fetch_sub(bytes, Ordering::Relaxed);
        self.bytes -= bytes;
    }

    /// Returns the number of bytes reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

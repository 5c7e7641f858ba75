//! The responses that this node holds because their readers are slow.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arbutuslane_core::time::Time;
use arbutuslane_limit::slow_readers::{MIN_UNREAD, MIN_UNREAD_IN_CROWD, ReaderId, SlowReaders};

use crate::announce::Server;
use crate::shared::Shared;

/// How many times the limit make so many responses that readers have less time.
const CROWD_FACTOR: usize = 2;

/// One of the responses that a node holds; dropping it removes the response from them.
#[derive(Debug)]
pub(super) struct HeldResponse {
    readers: Readers,
    id: ReaderId,
}

/// The responses that wait for their readers in one memory, or at one server.
pub(crate) type Readers = Arc<Mutex<SlowReaders>>;

impl HeldResponse {
    /// Adds a response to `readers`.
    pub(super) fn new(readers: &Readers, is_idempotent: bool, now: Time) -> Self {
        let id = lock(readers).add(is_idempotent, now);
        Self { readers: Arc::clone(readers), id }
    }

    /// Records that the reader has taken bytes.
    pub(super) fn record_read(&self, now: Time) {
        lock(&self.readers).record_read(self.id, now);
    }

    /// Returns whether the response has to be cut.
    pub(super) fn is_cut(&self) -> bool {
        lock(&self.readers).is_cut(self.id)
    }
}

impl Drop for HeldResponse {
    fn drop(&mut self) {
        lock(&self.readers).remove(self.id);
    }
}

/// Makes the response whose reader has taken nothing for the longest time release its memory.
pub(crate) fn cut_slowest(shared: &Shared) {
    lock(&shared.slow_readers).choose(shared.clock.now());
}

/// Cuts the responses beyond the limit whose readers have taken nothing for the longest time.
pub(super) fn cut_beyond_limit(shared: &Shared) {
    let limit = shared.settings.max_unread_responses();
    let mut readers = lock(&shared.slow_readers);
    let min_unread = match readers.len() > limit * CROWD_FACTOR {
        true => MIN_UNREAD_IN_CROWD,
        false => MIN_UNREAD,
    };
    readers.choose_beyond(limit, min_unread, shared.clock.now());
}

/// Returns the number of responses that are held.
pub(crate) fn held_responses(shared: &Shared) -> u64 {
    lock(&shared.slow_readers).len() as u64
}

/// Cuts responses that occupy slots of `server` for their readers while other requests wait, so that
/// those have half of the slots.
pub(super) fn cut_at_full_server(server: &Server, now: Time) {
    let (in_flight, queued, slots) = server.admission.occupancy();
    if in_flight >= slots && queued > 0 {
        lock(&server.unread).choose_beyond((slots as usize / 2).max(1), MIN_UNREAD, now);
    }
}

fn lock(readers: &Readers) -> MutexGuard<'_, SlowReaders> {
    readers.lock().unwrap_or_else(PoisonError::into_inner)
}

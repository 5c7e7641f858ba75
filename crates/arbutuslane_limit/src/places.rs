//! A number of places that are taken and given back.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A limit on how many of something there are at a time, over all threads.
///
/// ```
/// use arbutuslane_limit::places::Places;
///
/// let places = Places::new(1);
/// let taken = places.take();
/// assert!(taken.is_some() && places.take().is_none());
/// drop(taken);
/// assert!(places.take().is_some());
/// ```
#[derive(Debug)]
pub struct Places {
    limit: usize,
    taken: AtomicUsize,
}

/// One place; dropping it gives it back.
#[derive(Debug)]
pub struct Place {
    places: Arc<Places>,
}

impl Places {
    /// Returns `limit` free places.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self { limit, taken: AtomicUsize::new(0) })
    }

    /// Takes a place, or returns `None` if all are taken.
    pub fn take(self: &Arc<Self>) -> Option<Place> {
        self.take_below(self.limit)
    }

    /// Takes a place while fewer than `limit` are taken, for a limit that changes.
    pub fn take_below(self: &Arc<Self>, limit: usize) -> Option<Place> {
        let add = |taken: usize| (taken < limit).then_some(taken + 1);
        self.taken.fetch_update(Ordering::AcqRel, Ordering::Acquire, add).ok()?;
        Some(Place { places: Arc::clone(self) })
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.places.taken.fetch_sub(1, Ordering::AcqRel);
    }
}

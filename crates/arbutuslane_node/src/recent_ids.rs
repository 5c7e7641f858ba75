//! The ids of requests that run at the servers of this node and have a property in common.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The most ids that are kept. A server runs only a few requests at a time.
const MAX_IDS: usize = 128;

/// The newest ids that were added.
#[derive(Debug, Default)]
pub(crate) struct RecentIds(Mutex<VecDeque<String>>);

impl RecentIds {
    /// Adds `id`, and removes the oldest one if there are too many.
    pub(crate) fn add(&self, id: &str) {
        let mut ids = self.lock();
        if ids.len() >= MAX_IDS {
            ids.pop_front();
        }
        ids.push_back(id.to_string());
    }

    /// Returns whether `id` was added.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.lock().iter().any(|known| known == id)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<String>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! The ids of requests that run at the servers of this node and have a property in common, with a value
//! each.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The most ids that are kept. A server runs only a few requests at a time.
const MAX_IDS: usize = 128;

/// The newest ids that were added.
#[derive(Debug)]
pub(crate) struct RecentIds<V = ()>(Mutex<VecDeque<(String, V)>>);

impl<V> Default for RecentIds<V> {
    fn default() -> Self {
        Self(Mutex::default())
    }
}

impl RecentIds {
    /// Adds `id`, and removes the oldest one if there are too many.
    pub(crate) fn add(&self, id: &str) {
        self.insert(id, ());
    }
}

impl<V: Copy> RecentIds<V> {
    /// Adds `id` with a value, and removes the oldest one if there are too many.
    pub(crate) fn insert(&self, id: &str, value: V) {
        let mut ids = self.lock();
        if ids.len() >= MAX_IDS {
            ids.pop_front();
        }
        ids.push_back((id.to_string(), value));
    }

    /// Returns whether `id` was added.
    pub(crate) fn contains(&self, id: &str) -> bool {
        self.get(id).is_some()
    }

    /// Returns the value that was last added with `id`.
    pub(crate) fn get(&self, id: &str) -> Option<V> {
        self.lock().iter().rev().find(|(known, _)| known == id).map(|(_, value)| *value)
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<(String, V)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

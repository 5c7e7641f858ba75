//! Passes announcements of accepted items from the traffic threads to the control thread.

use std::sync::{Mutex, PoisonError};

use arbutuslane_item::transfer::MAX_HASHES;
use tokio::sync::Notify;

/// The announcements that have not been handled yet.
#[derive(Debug, Default)]
pub(crate) struct Announced {
    hashes: Mutex<Vec<u64>>,
    notify: Notify,
}

impl Announced {
    /// Adds the hashes of accepted items; none stands for more items than one message can name.
    ///
    /// Hashes beyond the limit are dropped; the next comparison finds their items.
    pub(crate) fn add(&self, hashes: Vec<u64>) {
        let mut pending = self.hashes.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.len() + hashes.len() <= MAX_HASHES {
            pending.extend(hashes);
        }
        self.notify.notify_one();
    }

    /// Waits for an announcement and takes all hashes that have been added.
    pub(crate) async fn wait(&self) -> Vec<u64> {
        self.notify.notified().await;
        std::mem::take(&mut *self.hashes.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

//! Collects the accepted items that nodes have yet to be told of.

use std::sync::{Arc, Mutex, PoisonError};

use arbutuslane_item::prelude::{Item, Table};
use tokio::sync::Notify;

/// Accepted items that wait for the next message to the nodes. Of several versions of an item, only
/// the newest waits.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    waiting: Mutex<Table>,
    notify: Notify,
}

impl Outbox {
    /// Adds items for the next message.
    pub(super) fn add(&self, items: Vec<Arc<Item>>) {
        if items.is_empty() {
            return;
        }
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner).merge_accepted(items);
        self.notify.notify_one();
    }

    /// Waits for items and takes all that have been added.
    pub(super) async fn take(&self) -> Vec<Arc<Item>> {
        loop {
            let waiting =
                std::mem::take(&mut *self.waiting.lock().unwrap_or_else(PoisonError::into_inner));
            if !waiting.is_empty() {
                return waiting.items().cloned().collect();
            }
            self.notify.notified().await;
        }
    }
}

#[cfg(test)]
mod tests {
    use arbutuslane_item::prelude::Key;

    use super::*;

    fn removal(name: &str, version: u64) -> Arc<Item> {
        Arc::new(Item::removal(Key::Route(name.to_string()), version))
    }

    /// Guards against a message for each version while many changes are accepted, and against items
    /// that are told twice.
    #[ntex::test]
    async fn take_newest() {
        let outbox = Outbox::default();
        outbox.add(vec![removal("r1", 1), removal("r2", 1)]);
        outbox.add(vec![removal("r1", 2)]);
        assert_eq!(outbox.take().await, [removal("r1", 2), removal("r2", 1)]);
        outbox.add(vec![removal("r3", 1)]);
        assert_eq!(outbox.take().await, [removal("r3", 1)]);
    }
}

//! Puts items of the catalogue into force.

use std::sync::{Arc, MutexGuard, PoisonError};

use arbutuslane_item::item::MAX_LISTED_ITEMS;
use arbutuslane_item::prelude::{Item, Position, Table};
use arbutuslane_item::view::View;

use crate::configuration::Configuration;

use super::Shared;

impl Shared {
    /// Locks the items that this node knows.
    pub(crate) fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds accepted items to those that this node knows; returns the number of new ones.
    pub(crate) fn adopt_items(&self, mut items: Vec<Arc<Item>>) -> usize {
        let mut view = self.view();
        self.state.remove_outdated(&mut items);
        let adopted = view.merge_accepted(items);
        if !adopted.is_empty() {
            self.state.record_versions(&adopted);
            self.put_in_force(&view);
        }
        drop(view);
        log_items_in_force(&adopted);
        adopted.len()
    }

    /// Changes what this node knows of its items, and puts into force what it uses then.
    pub(crate) fn update_view<T>(&self, update: impl FnOnce(&mut View) -> T) -> T {
        let mut view = self.view();
        let result = update(&mut view);
        if view.in_force().digest() != self.configuration().items().digest() {
            self.put_in_force(&view);
        }
        self.completeness.set_stage(view.stage());
        result
    }

    /// Uses a state that a control instance has stored and that may not be accepted.
    pub(crate) fn use_stored(&self, position: Position, stored: &Table) {
        let mut items: Vec<Arc<Item>> = stored.items().cloned().collect();
        // Keys that were withdrawn before the start stay withdrawn.
        self.state.remove_outdated(&mut items);
        let mut table = Table::default();
        table.set_all(items);
        self.update_view(|view| view.use_stored(position, table));
    }

    fn put_in_force(&self, view: &View) {
        let items = view.in_force().clone();
        self.completeness.set_behind(!self.state.is_covered_by(&items));
        let configuration = Arc::new(Configuration::from(items));
        *self.configuration.write().unwrap_or_else(PoisonError::into_inner) = configuration;
    }
}

fn log_items_in_force(adopted: &[Arc<Item>]) {
    if adopted.len() > MAX_LISTED_ITEMS {
        let newest_version = adopted.iter().map(|item| item.version).max();
        tracing::info!(event = "items-in-force", items = adopted.len(), newest_version);
        return;
    }
    for item in adopted {
        tracing::info!(event = "item-in-force", item = ?item.key, version = item.version);
    }
}

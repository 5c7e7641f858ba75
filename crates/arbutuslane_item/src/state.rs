//! The content of the catalogue at a position, and the updates between two states.

use std::sync::Arc;

use crate::ballot::Position;
use crate::item::Item;
use crate::table::Table;
use crate::voter::Electorate;

/// The content of the catalogue at a position.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// The position.
    pub position: Position,
    /// The items.
    pub table: Table,
    /// The instances that count for this state.
    pub electorate: Electorate,
}

/// The difference between two states, as instances send it and write it to disk.
#[derive(Debug, Clone, PartialEq)]
pub struct Update {
    /// The position of the resulting state.
    pub position: Position,
    /// The buckets whose whole content [`Update::items`] states, in ascending order.
    pub replaced: Vec<usize>,
    /// The items that differ, and all items of the replaced buckets.
    pub items: Vec<Arc<Item>>,
    /// The digest of the resulting table.
    pub digest: u64,
    /// The instances that count for the resulting state.
    pub electorate: Electorate,
}

impl State {
    /// Applies an update; returns whether the result has the update's digest. Otherwise the update
    /// was made for another state, and nothing has changed.
    pub fn apply(&mut self, update: &Update) -> bool {
        let mut table = self.table.clone();
        table.clear_buckets(&update.replaced);
        table.set_all(update.items.clone());
        if table.digest() != update.digest {
            return false;
        }
        *self = Self {
            position: update.position.clone(),
            table,
            electorate: update.electorate.clone(),
        };
        true
    }

    /// Returns the update that turns a table with these hashes of its buckets into this state.
    pub fn update_for(&self, buckets: &[u64]) -> Update {
        Update {
            position: self.position.clone(),
            replaced: self.table.differing_buckets(buckets),
            items: self.table.difference(buckets).items().cloned().collect(),
            digest: self.table.digest(),
            electorate: self.electorate.clone(),
        }
    }
}

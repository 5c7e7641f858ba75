//! Decides when a change is accepted, and when an instance that lost its disk has recovered.
//!
//! A change is accepted once it is on the disks of one instance more than may lose their disks at the
//! same time. Any instance may receive a change from an operator and counts the copies itself; an
//! instance that has a change on disk without knowing that it is accepted counts the copies again.
//! An instance with an empty disk is [`Standing::Recovering`] until the same number of complete
//! instances have sent it all their items: for each accepted change, at least one of them has it.

use std::sync::Arc;

use arbutuslane_core::id::NodeId;

use crate::check;
use crate::item::{Item, Key};
use crate::table::Table;

/// Whether an instance has every change that was accepted before it started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// The instance serves reads and counts for the recovery of other instances.
    Complete,
    /// The instance started with an empty disk and has not received the items of enough complete
    /// instances.
    Recovering {
        /// The complete instances that have sent all their items, in ascending order.
        sources: Vec<NodeId>,
    },
}

/// One control instance's state of the items and of the instances that have them on disk.
#[derive(Debug, Clone)]
pub struct Replication {
    /// The number of instances that must have a change on disk.
    copies: usize,
    standing: Standing,
    /// All items that this instance has received.
    table: Table,
    /// The items that are known to be accepted.
    accepted: Table,
    /// The items of `table` that are not known to be accepted, in ascending order of their keys.
    pending: Vec<PendingItem>,
    /// The items that this instance had when it started or became complete, and that it does not know
    /// to be accepted or replaced since, in ascending order of their keys.
    unconfirmed: Vec<Arc<Item>>,
}

/// An item that is not known to be accepted.
#[derive(Debug, Clone)]
struct PendingItem {
    item: Arc<Item>,
    /// The instances that have the item on disk.
    holders: Vec<NodeId>,
}

impl Replication {
    /// Returns the state of the instance `own`, which has read `items` from its disk; a change is
    /// accepted when `copies` instances have it on disk.
    pub fn new(own: &str, copies: usize, standing: Standing, items: Vec<Arc<Item>>) -> Self {
        let mut replication = Self {
            copies: copies.max(1),
            standing,
            table: Table::default(),
            accepted: Table::default(),
            pending: Vec::new(),
            unconfirmed: Vec::new(),
        };
        let items = replication.merge_items(items);
        replication.record_stored(own, &items);
        replication.unconfirmed = replication.pending();
        replication
    }

    /// Returns all items that this instance has received.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the items that are known to be accepted.
    pub fn accepted(&self) -> &Table {
        &self.accepted
    }

    /// Returns the number of instances that must have a change on disk before it is accepted.
    pub fn copies(&self) -> usize {
        self.copies
    }

    /// Returns whether this instance has every change that was accepted before it started.
    pub fn is_complete(&self) -> bool {
        self.standing == Standing::Complete
    }

    /// Returns whether [`Replication::accepted`] contains every item that was accepted before this
    /// instance started.
    ///
    /// The disk does not record which items are accepted: after a start, the instance determines it
    /// again from the others, item by item. A node that mistakes an incomplete set for the whole
    /// catalogue denies requests on all missing routes.
    pub fn knows_all_accepted(&self) -> bool {
        self.is_complete() && self.unconfirmed.is_empty()
    }

    /// Validates and merges an operator's change; returns the items that are new here and must be
    /// stored.
    ///
    /// An item whose version is not higher than the known one is ignored.
    ///
    /// # Errors
    ///
    /// See [`check::Error`]; an invalid change is refused as a whole.
    pub fn submit_change(&mut self, items: Vec<Arc<Item>>) -> Result<Vec<Arc<Item>>, check::Error> {
        check::check_items(&self.table, &items)?;
        let new_items = items.into_iter().filter(|item| !self.table.covers(item)).collect();
        Ok(self.merge_items(new_items))
    }

    /// Merges items from another instance; returns those that are new here and must be stored, in
    /// ascending order of their keys.
    pub fn merge_items(&mut self, mut items: Vec<Arc<Item>>) -> Vec<Arc<Item>> {
        items.retain(|item| !self.accepted.covers(item));
        let new_items = self.table.merge_all(items);
        if new_items.is_empty() {
            return new_items;
        }
        self.pending.retain(|pending| find(&new_items, &pending.item.key).is_none());
        let added = new_items.iter().cloned();
        self.pending.extend(added.map(|item| PendingItem { item, holders: Vec::new() }));
        self.pending.sort_by(|left, right| left.item.key.cmp(&right.item.key));
        new_items
    }

    /// Records that `instance` has `items`, or newer versions of them, on its disk; returns the items
    /// that became accepted.
    pub fn record_stored(&mut self, instance: &str, items: &[Arc<Item>]) -> Vec<Arc<Item>> {
        let mut accepted = Vec::new();
        for item in items {
            let found = self.pending.binary_search_by(|pending| pending.item.key.cmp(&item.key));
            let Ok(index) = found else { continue };
            let pending = &mut self.pending[index];
            if pending.item != *item {
                continue;
            }
            if !pending.holders.iter().any(|holder| holder == instance) {
                pending.holders.push(instance.to_string());
            }
            if pending.holders.len() >= self.copies {
                accepted.push(Arc::clone(item));
            }
        }
        self.accept(accepted)
    }

    /// Merges items that are known to be accepted; returns those that this instance did not know to be
    /// accepted, in ascending order of their keys.
    ///
    /// An accepted declaration replaces another declaration of the same version that is not accepted.
    pub fn accept(&mut self, mut items: Vec<Arc<Item>>) -> Vec<Arc<Item>> {
        items.retain(|item| !self.accepted.covers(item));
        let new_items = self.accepted.merge_all(items);
        if new_items.is_empty() {
            return new_items;
        }
        self.table.merge_accepted(new_items.clone());
        let is_newer = |held: &Item| {
            find(&new_items, &held.key).is_none_or(|accepted| held.version > accepted.version)
        };
        self.pending.retain(|pending| is_newer(&pending.item));
        self.unconfirmed.retain(|held| is_newer(held));
        new_items
    }

    /// Returns whether `items`, or newer versions of them, are accepted.
    pub fn are_accepted(&self, items: &[Arc<Item>]) -> bool {
        items.iter().all(|item| self.accepted.covers(item))
    }

    /// Returns the items that are not known to be accepted, in ascending order of their keys.
    pub fn pending(&self) -> Vec<Arc<Item>> {
        self.pending.iter().map(|pending| Arc::clone(&pending.item)).collect()
    }

    /// Returns the accepted items that conflict with `items`: different declarations of the same
    /// version, or newer versions.
    pub fn conflicting_items(&self, items: &[Arc<Item>]) -> Vec<Arc<Item>> {
        let mut conflicting = Vec::new();
        for item in items {
            let Some(held) = self.accepted.get(&item.key) else { continue };
            if held.version >= item.version && held != item {
                conflicting.push(Arc::clone(held));
            }
        }
        conflicting
    }

    /// Records that a complete instance has sent all its items; returns whether this instance has
    /// thereby become complete.
    pub fn record_complete_source(&mut self, instance: &str) -> bool {
        let Standing::Recovering { sources } = &mut self.standing else { return false };
        if let Err(index) = sources.binary_search_by(|known| known.as_str().cmp(instance)) {
            sources.insert(index, instance.to_string());
        }
        if sources.len() < self.copies {
            return false;
        }
        self.standing = Standing::Complete;
        self.unconfirmed = self.pending();
        true
    }
}

/// Returns the item with `key` in `items`, which are in ascending order of their keys.
fn find<'a>(items: &'a [Arc<Item>], key: &Key) -> Option<&'a Arc<Item>> {
    items.binary_search_by(|item| item.key.cmp(key)).ok().map(|index| &items[index])
}

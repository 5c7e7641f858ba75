//! Decides when a change is accepted, and when an instance that lost its disk has recovered.
//!
//! A change is accepted once it is on the disks of one instance more than may lose their disks at the
//! same time. Any instance may receive a change from an operator and counts the copies itself; an
//! instance that has a change on disk without knowing that it is accepted counts the copies again.
//! An instance with an empty disk is [`Standing::Recovering`] until the same number of complete
//! instances have sent it all their items: for each accepted change, at least one of them has it.

use arbutuslane_core::id::NodeId;

use crate::check;
use crate::item::Item;
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
    /// The items of `table` that are not known to be accepted.
    pending: Vec<PendingItem>,
    /// The items that this instance had when it started or became complete, and that it does not know
    /// to be accepted or replaced since.
    unconfirmed: Vec<Item>,
}

/// An item that is not known to be accepted.
#[derive(Debug, Clone)]
struct PendingItem {
    item: Item,
    /// The instances that have the item on disk.
    holders: Vec<NodeId>,
}

impl Replication {
    /// Returns the state of the instance `own`, which has read `items` from its disk; a change is
    /// accepted when `copies` instances have it on disk.
    pub fn new(own: &str, copies: usize, standing: Standing, items: Vec<Item>) -> Self {
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
    pub fn submit_change(&mut self, items: Vec<Item>) -> Result<Vec<Item>, check::Error> {
        check::check_items(&self.table, &items)?;
        let new_items = items.into_iter().filter(|item| !self.table.covers(item)).collect();
        Ok(self.merge_items(new_items))
    }

    /// Merges items from another instance; returns those that are new here and must be stored.
    pub fn merge_items(&mut self, items: Vec<Item>) -> Vec<Item> {
        let mut new_items = Vec::new();
        for item in items {
            let accepted_item = self.accepted.get(&item.key);
            if accepted_item.is_some_and(|accepted| accepted.version >= item.version) {
                continue;
            }
            if !self.table.merge(item.clone()) {
                continue;
            }
            self.pending.retain(|pending| pending.item.key != item.key);
            self.pending.push(PendingItem { item: item.clone(), holders: Vec::new() });
            new_items.push(item);
        }
        new_items
    }

    /// Records that `instance` has `items`, or newer versions of them, on its disk; returns the items
    /// that became accepted.
    pub fn record_stored(&mut self, instance: &str, items: &[Item]) -> Vec<Item> {
        let mut accepted = Vec::new();
        for item in items {
            let known = self.pending.iter_mut().find(|pending| pending.item == *item);
            let Some(pending) = known else { continue };
            if !pending.holders.iter().any(|holder| holder == instance) {
                pending.holders.push(instance.to_string());
            }
            if pending.holders.len() >= self.copies {
                accepted.push(item.clone());
            }
        }
        self.accept(accepted)
    }

    /// Merges items that are known to be accepted; returns those that this instance did not know to be
    /// accepted.
    ///
    /// An accepted declaration replaces another declaration of the same version that is not accepted.
    pub fn accept(&mut self, items: Vec<Item>) -> Vec<Item> {
        let mut new_items = Vec::new();
        for item in items {
            if self.accepted.covers(&item) {
                continue;
            }
            self.accepted.merge(item.clone());
            self.table.merge_accepted(item.clone());
            self.pending.retain(|pending| {
                pending.item.key != item.key || pending.item.version > item.version
            });
            self.unconfirmed.retain(|held| held.key != item.key || held.version > item.version);
            new_items.push(item);
        }
        new_items
    }

    /// Returns whether `items`, or newer versions of them, are accepted.
    pub fn are_accepted(&self, items: &[Item]) -> bool {
        items.iter().all(|item| self.accepted.covers(item))
    }

    /// Returns the items that are not known to be accepted.
    pub fn pending(&self) -> Vec<Item> {
        self.pending.iter().map(|pending| pending.item.clone()).collect()
    }

    /// Returns the accepted items that conflict with `items`: different declarations of the same
    /// version, or newer versions.
    pub fn conflicting_items(&self, items: &[Item]) -> Vec<Item> {
        let mut conflicting = Vec::new();
        for item in items {
            let Some(held) = self.accepted.get(&item.key) else { continue };
            if held.version >= item.version && held != item {
                conflicting.push(held.clone());
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

//! When a change is accepted, and when an instance that lost its disk counts again.
//!
//! A change is accepted once as many instances hold it on disk as may lose their disks at the same
//! time, and one more. Every instance may take a change and collects the copies itself; instances
//! that hold a change which they do not know to be accepted collect them again. An instance with
//! an empty disk is [`Standing::Recovering`] until that many complete instances have told it what
//! they hold: among them is one that holds each accepted change.

use arbutuslane_core::id::NodeId;

use crate::check;
use crate::item::Item;
use crate::table::Table;

/// Whether an instance holds every change that was accepted before it started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Standing {
    /// The instance counts for reads and for the recovery of others.
    Complete,
    /// The instance started with an empty disk and has heard from these complete instances.
    Recovering {
        /// The complete instances, in ascending order.
        heard: Vec<NodeId>,
    },
}

/// What one control instance knows of the items and of who holds them.
#[derive(Debug, Clone)]
pub struct Replication {
    copies: usize,
    standing: Standing,
    /// Everything that this instance was told.
    table: Table,
    /// What is known to be accepted.
    accepted: Table,
    /// The items of `table` that are not, with the instances that hold them on disk.
    pending: Vec<Pending>,
    /// The items that this instance held when it started, or when it became complete, and that it
    /// does not know to be accepted or displaced since.
    unsettled: Vec<Item>,
}

#[derive(Debug, Clone)]
struct Pending {
    item: Item,
    holders: Vec<NodeId>,
}

impl Replication {
    /// Returns the state of the instance `own` that found `items` on its disk; a change is accepted
    /// when `copies` instances hold it.
    pub fn new(own: &str, copies: usize, standing: Standing, items: Vec<Item>) -> Self {
        let mut replication = Self {
            copies: copies.max(1),
            standing,
            table: Table::default(),
            accepted: Table::default(),
            pending: Vec::new(),
            unsettled: Vec::new(),
        };
        let items = replication.take(items);
        replication.stored(own, &items);
        replication.unsettled = replication.pending();
        replication
    }

    /// Returns everything that this instance was told.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns what is known to be accepted.
    pub fn accepted(&self) -> &Table {
        &self.accepted
    }

    /// Returns the number of instances that must hold a change.
    pub fn copies(&self) -> usize {
        self.copies
    }

    /// Returns whether the instance holds every change accepted before it started.
    pub fn is_complete(&self) -> bool {
        self.standing == Standing::Complete
    }

    /// Returns whether [`Replication::accepted`] has everything that was accepted before this instance
    /// started.
    ///
    /// What is accepted is not on disk: after a start, the instance finds it out again from the
    /// others, item by item. A node that takes the part for the whole denies requests on all routes
    /// that are missing.
    pub fn is_settled(&self) -> bool {
        self.is_complete() && self.unsettled.is_empty()
    }

    /// Takes an operator's change; returns the items that are new here and must be stored.
    ///
    /// A lower or equal version changes nothing.
    ///
    /// # Errors
    ///
    /// See [`check::Error`]; no part of an invalid change is taken.
    pub fn order(&mut self, items: Vec<Item>) -> Result<Vec<Item>, check::Error> {
        check::items(&self.table, &items)?;
        let fresh = items.into_iter().filter(|item| !self.table.covers(item)).collect();
        Ok(self.take(fresh))
    }

    /// Takes items that another instance holds; returns those that are new here and must be stored.
    pub fn take(&mut self, items: Vec<Item>) -> Vec<Item> {
        let mut fresh = Vec::new();
        for item in items {
            let settled = self.accepted.get(&item.key);
            if settled.is_some_and(|settled| settled.version >= item.version) {
                continue;
            }
            if !self.table.merge(item.clone()) {
                continue;
            }
            self.pending.retain(|pending| pending.item.key != item.key);
            self.pending.push(Pending { item: item.clone(), holders: Vec::new() });
            fresh.push(item);
        }
        fresh
    }

    /// Takes note that `instance` holds `items`, or newer versions, on its disk; returns those that
    /// are accepted by it.
    pub fn stored(&mut self, instance: &str, items: &[Item]) -> Vec<Item> {
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

    /// Takes items that are known to be accepted; returns those that this instance did not know to
    /// be so.
    ///
    /// An accepted declaration displaces another one of the same version that was not accepted.
    pub fn accept(&mut self, items: Vec<Item>) -> Vec<Item> {
        let mut fresh = Vec::new();
        for item in items {
            if self.accepted.covers(&item) {
                continue;
            }
            self.accepted.merge(item.clone());
            self.table.settle(item.clone());
            self.pending.retain(|pending| {
                pending.item.key != item.key || pending.item.version > item.version
            });
            self.unsettled.retain(|held| held.key != item.key || held.version > item.version);
            fresh.push(item);
        }
        fresh
    }

    /// Returns whether `items`, or newer versions of them, are accepted.
    pub fn are_accepted(&self, items: &[Item]) -> bool {
        items.iter().all(|item| self.accepted.covers(item))
    }

    /// Returns the items that are not known to be accepted.
    pub fn pending(&self) -> Vec<Item> {
        self.pending.iter().map(|pending| pending.item.clone()).collect()
    }

    /// Returns the accepted items that contradict `items`: other declarations of the same versions,
    /// or newer ones.
    pub fn contradicting(&self, items: &[Item]) -> Vec<Item> {
        let mut settled = Vec::new();
        for item in items {
            let Some(held) = self.accepted.get(&item.key) else { continue };
            if held.version >= item.version && held != item {
                settled.push(held.clone());
            }
        }
        settled
    }

    /// Takes note that a complete instance has told everything that it holds; returns whether this
    /// instance is complete by it.
    pub fn heard(&mut self, instance: &str) -> bool {
        let Standing::Recovering { heard } = &mut self.standing else { return false };
        if let Err(index) = heard.binary_search_by(|known| known.as_str().cmp(instance)) {
            heard.insert(index, instance.to_string());
        }
        if heard.len() < self.copies {
            return false;
        }
        self.standing = Standing::Complete;
        self.unsettled = self.pending();
        true
    }
}

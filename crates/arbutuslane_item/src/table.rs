//! The items that an instance holds.

use crate::item::{Item, Key};

/// The parts into which a table is divided for comparison with another.
pub const BUCKETS: usize = 64;

/// The items that an instance holds, removed ones included, in ascending order of their keys.
#[derive(Debug, Clone)]
pub struct Table {
    items: Vec<Item>,
    buckets: [u64; BUCKETS],
}

impl Default for Table {
    fn default() -> Self {
        Self { items: Vec::new(), buckets: [0; BUCKETS] }
    }
}

impl Table {
    /// Takes over an item when it replaces the held version; returns whether it did.
    pub fn merge(&mut self, item: Item) -> bool {
        let hash = item.hash();
        match self.find(&item.key) {
            Ok(index) => {
                if !item.replaces(&self.items[index]) {
                    return false;
                }
                let before = self.items[index].hash();
                self.buckets[bucket(&item.key)] ^= before ^ hash;
                self.items[index] = item;
            }
            Err(index) => {
                self.buckets[bucket(&item.key)] ^= hash;
                self.items.insert(index, item);
            }
        }
        true
    }

    /// Takes over an accepted item, also in place of another declaration of the same version.
    pub fn settle(&mut self, item: Item) {
        if let Ok(index) = self.find(&item.key) {
            let held = &self.items[index];
            if held.version > item.version || *held == item {
                return;
            }
            self.buckets[bucket(&item.key)] ^= held.hash();
            self.items.remove(index);
        }
        self.merge(item);
    }

    /// Returns the held version of an item, also when that version removes it.
    pub fn get(&self, key: &Key) -> Option<&Item> {
        self.find(key).ok().map(|index| &self.items[index])
    }

    /// Returns whether the held version of an item is at least `item`.
    pub fn covers(&self, item: &Item) -> bool {
        self.get(&item.key).is_some_and(|held| held.version >= item.version)
    }

    /// Returns all items, removed ones included.
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// Returns the items that stand.
    pub fn standing(&self) -> impl Iterator<Item = &Item> {
        self.items.iter().filter(|item| item.content.is_some())
    }

    /// Returns whether no item was ever set.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns a hash of the whole table.
    pub fn digest(&self) -> u64 {
        let mut digest = 0_u64;
        for bucket in &self.buckets {
            digest = digest.rotate_left(1) ^ bucket;
        }
        digest
    }

    /// Returns the hashes of the parts of the table.
    pub fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// Returns the items in the parts whose hashes differ from `theirs`.
    ///
    /// A list of another length comes from another release and gets everything.
    pub fn difference(&self, theirs: &[u64]) -> Vec<Item> {
        let mut items = Vec::new();
        for item in &self.items {
            let bucket = bucket(&item.key);
            if theirs.len() == BUCKETS && theirs[bucket] == self.buckets[bucket] {
                continue;
            }
            items.push(item.clone());
        }
        items
    }

    fn find(&self, key: &Key) -> Result<usize, usize> {
        self.items.binary_search_by(|item| item.key.cmp(key))
    }
}

fn bucket(key: &Key) -> usize {
    let hash = arbutuslane_core::hash::of_bytes(format!("{key:?}").as_bytes());
    usize::try_from(hash % BUCKETS as u64).unwrap_or(0)
}

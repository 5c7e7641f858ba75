//! The table of items, with hashes that locate the differences between two tables.

use crate::item::{Item, Key};

/// The number of buckets that the items of a table are divided into for comparison.
pub const BUCKET_COUNT: usize = 64;

/// The newest version of each item, including removed ones, in ascending order of their keys.
#[derive(Debug, Clone)]
pub struct Table {
    items: Vec<Item>,
    buckets: [u64; BUCKET_COUNT],
}

impl Default for Table {
    fn default() -> Self {
        Self { items: Vec::new(), buckets: [0; BUCKET_COUNT] }
    }
}

impl Table {
    /// Merges an item into the table if it replaces the stored version; returns whether it did.
    pub fn merge(&mut self, item: Item) -> bool {
        let hash = item.hash();
        match self.find(&item.key) {
            Ok(index) => {
                if !item.replaces(&self.items[index]) {
                    return false;
                }
                let old_hash = self.items[index].hash();
                self.buckets[bucket_index(&item.key)] ^= old_hash ^ hash;
                self.items[index] = item;
            }
            Err(index) => {
                self.buckets[bucket_index(&item.key)] ^= hash;
                self.items.insert(index, item);
            }
        }
        true
    }

    /// Merges an accepted item into the table; it also replaces a different declaration of the same
    /// version.
    pub fn merge_accepted(&mut self, item: Item) {
        if let Ok(index) = self.find(&item.key) {
            let held = &self.items[index];
            if held.version > item.version || *held == item {
                return;
            }
            self.buckets[bucket_index(&item.key)] ^= held.hash();
            self.items.remove(index);
        }
        self.merge(item);
    }

    /// Returns the stored version of an item, which may be a removal.
    pub fn get(&self, key: &Key) -> Option<&Item> {
        self.find(key).ok().map(|index| &self.items[index])
    }

    /// Returns whether the stored version of an item is at least that of `item`.
    pub fn covers(&self, item: &Item) -> bool {
        self.get(&item.key).is_some_and(|held| held.version >= item.version)
    }

    /// Returns all items, including removed ones.
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// Returns the items that are not removed.
    pub fn declared_items(&self) -> impl Iterator<Item = &Item> {
        self.items.iter().filter(|item| item.content.is_some())
    }

    /// Returns whether the table has no items, not even removed ones.
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

    /// Returns the hash of each bucket.
    pub fn buckets(&self) -> &[u64; BUCKET_COUNT] {
        &self.buckets
    }

    /// Returns the items in the buckets whose hashes differ from those in `theirs`.
    ///
    /// A list of another length comes from another release; all items are returned for it.
    pub fn difference(&self, theirs: &[u64]) -> Vec<Item> {
        let mut items = Vec::new();
        for item in &self.items {
            let bucket = bucket_index(&item.key);
            if theirs.len() == BUCKET_COUNT && theirs[bucket] == self.buckets[bucket] {
                continue;
            }
            items.push(item.clone());
        }
        items
    }

    /// Returns the index of an item, or as an error the index to insert it at.
    fn find(&self, key: &Key) -> Result<usize, usize> {
        self.items.binary_search_by(|item| item.key.cmp(key))
    }
}

fn bucket_index(key: &Key) -> usize {
    let hash = arbutuslane_core::hash::of_bytes(format!("{key:?}").as_bytes());
    usize::try_from(hash % BUCKET_COUNT as u64).unwrap_or(0)
}

//! The table of items, with hashes that locate the differences between two tables.

use std::sync::Arc;

use crate::item::{Item, Key};

/// The number of buckets that the items of a table are divided into for comparison.
pub const BUCKET_COUNT: usize = 64;

/// The largest number of new items that are inserted one by one; more are added at the end and
/// sorted into place together.
const MAX_SINGLE_INSERTS: usize = 8;

/// The newest version of each item, including removed ones, in ascending order of their keys.
///
/// A copy of a table shares its items.
#[derive(Debug, Clone)]
pub struct Table {
    entries: Vec<Entry>,
    buckets: [u64; BUCKET_COUNT],
}

/// An item with the values that are derived from it.
#[derive(Debug, Clone)]
struct Entry {
    item: Arc<Item>,
    hash: u64,
    bucket: usize,
}

/// The items of a table in the buckets that differ from those of another table.
#[derive(Debug, Default)]
pub struct Difference<'a> {
    /// The items, in ascending order of their buckets.
    entries: Vec<&'a Entry>,
}

impl Default for Table {
    fn default() -> Self {
        Self { entries: Vec::new(), buckets: [0; BUCKET_COUNT] }
    }
}

impl Entry {
    fn new(item: Arc<Item>) -> Self {
        let (hash, bucket) = (item.hash(), bucket_index(&item.key));
        Self { item, hash, bucket }
    }
}

impl Table {
    /// Merges an item into the table if it replaces the stored version; returns whether it did.
    pub fn merge(&mut self, item: Item) -> bool {
        !self.merge_all(vec![Arc::new(item)]).is_empty()
    }

    /// Merges items into the table; returns those that replaced a stored version or were not stored,
    /// in ascending order of their keys.
    pub fn merge_all(&mut self, items: Vec<Arc<Item>>) -> Vec<Arc<Item>> {
        self.merge_if(items, Item::replaces)
    }

    /// Merges accepted items into the table; they also replace different declarations of the same
    /// version. Returns those that replaced a stored version or were not stored.
    pub fn merge_accepted(&mut self, items: Vec<Arc<Item>>) -> Vec<Arc<Item>> {
        self.merge_if(items, |item, held| {
            item.version > held.version || (item.version == held.version && item != held)
        })
    }

    /// Stores items whatever version of them is stored.
    pub fn set_all(&mut self, items: Vec<Arc<Item>>) {
        self.merge_if(items, |_, _| true);
    }

    /// Forgets all items of these buckets.
    pub fn clear_buckets(&mut self, buckets: &[usize]) {
        if buckets.is_empty() {
            return;
        }
        self.entries.retain(|entry| !buckets.contains(&entry.bucket));
        for bucket in buckets {
            if let Some(hash) = self.buckets.get_mut(*bucket) {
                *hash = 0;
            }
        }
    }

    fn merge_if(
        &mut self,
        mut items: Vec<Arc<Item>>,
        replaces: impl Fn(&Item, &Item) -> bool,
    ) -> Vec<Arc<Item>> {
        items.sort_by(|left, right| left.key.cmp(&right.key));
        let mut merged: Vec<Arc<Item>> = Vec::new();
        let mut added: Vec<Entry> = Vec::new();
        for item in items {
            let known = match self.find(&item.key) {
                Ok(index) => Some(&mut self.entries[index]),
                Err(_) => added.last_mut().filter(|last| last.item.key == item.key),
            };
            let Some(known) = known else {
                let entry = Entry::new(Arc::clone(&item));
                self.buckets[entry.bucket] ^= entry.hash;
                added.push(entry);
                merged.push(item);
                continue;
            };
            if !replaces(&item, &known.item) {
                continue;
            }
            let entry = Entry::new(Arc::clone(&item));
            self.buckets[entry.bucket] ^= known.hash ^ entry.hash;
            *known = entry;
            // Of several versions in `items`, only the one that stays is reported.
            merged.pop_if(|last| last.key == item.key);
            merged.push(item);
        }
        self.insert(added);
        merged
    }

    /// Inserts entries whose keys are not in the table.
    fn insert(&mut self, added: Vec<Entry>) {
        if added.len() > MAX_SINGLE_INSERTS {
            self.entries.extend(added);
            self.entries.sort_by(|left, right| left.item.key.cmp(&right.item.key));
            return;
        }
        for entry in added {
            if let Err(index) = self.find(&entry.item.key) {
                self.entries.insert(index, entry);
            }
        }
    }

    /// Returns the stored version of an item, which may be a removal.
    pub fn get(&self, key: &Key) -> Option<&Arc<Item>> {
        self.find(key).ok().map(|index| &self.entries[index].item)
    }

    /// Returns whether the stored version of an item is at least that of `item`.
    pub fn covers(&self, item: &Item) -> bool {
        self.get(&item.key).is_some_and(|held| held.version >= item.version)
    }

    /// Returns all items, including removed ones, in ascending order of their keys.
    pub fn items(&self) -> impl Iterator<Item = &Arc<Item>> {
        self.entries.iter().map(|entry| &entry.item)
    }

    /// Returns the items that are not removed.
    pub fn declared_items(&self) -> impl Iterator<Item = &Arc<Item>> {
        self.items().filter(|item| item.content.is_some())
    }

    /// Returns the number of items, including removed ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the table has no items, not even removed ones.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
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

    /// Returns the buckets whose hashes differ from those in `theirs`, in ascending order.
    ///
    /// A list of another length comes from another release; all buckets differ from it.
    pub fn differing_buckets(&self, theirs: &[u64]) -> Vec<usize> {
        let is_comparable = theirs.len() == BUCKET_COUNT;
        let differs = |bucket: &usize| !is_comparable || theirs[*bucket] != self.buckets[*bucket];
        (0..BUCKET_COUNT).filter(differs).collect()
    }

    /// Returns the items in the buckets whose hashes differ from those in `theirs`.
    ///
    /// A list of another length comes from another release; all items differ from it.
    pub fn difference(&self, theirs: &[u64]) -> Difference<'_> {
        let mut entries = Vec::new();
        if theirs == self.buckets {
            return Difference { entries };
        }
        for entry in &self.entries {
            if theirs.get(entry.bucket) != Some(&self.buckets[entry.bucket])
                || theirs.len() != BUCKET_COUNT
            {
                entries.push(entry);
            }
        }
        entries.sort_by_key(|entry| entry.bucket);
        Difference { entries }
    }

    /// Returns the stored items that have one of the `hashes`.
    pub fn with_hashes(&self, hashes: &[u64]) -> Vec<Arc<Item>> {
        let mut sorted = hashes.to_vec();
        sorted.sort_unstable();
        let requested = |entry: &&Entry| sorted.binary_search(&entry.hash).is_ok();
        self.entries.iter().filter(requested).map(|entry| Arc::clone(&entry.item)).collect()
    }

    /// Returns those of the `hashes` that no stored item has.
    pub fn missing_hashes(&self, hashes: &[u64]) -> Vec<u64> {
        // Most comparisons name none, and the table may be large.
        if hashes.is_empty() {
            return Vec::new();
        }
        let mut held: Vec<u64> = self.entries.iter().map(|entry| entry.hash).collect();
        held.sort_unstable();
        hashes.iter().copied().filter(|hash| held.binary_search(hash).is_err()).collect()
    }

    /// Returns the index of an item, or as an error the index to insert it at.
    fn find(&self, key: &Key) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.item.key.cmp(key))
    }
}

impl Difference<'_> {
    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no bucket with items differs.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the items.
    pub fn items(&self) -> impl Iterator<Item = &Arc<Item>> {
        self.entries.iter().map(|entry| &entry.item)
    }

    /// Returns the hashes of the items of the first buckets: of as many as have `max_hashes` items
    /// together, and of one at least.
    ///
    /// Once another table holds these items, the buckets no longer differ, so that the next
    /// comparison goes on with the buckets after them.
    pub fn first_hashes(&self, max_hashes: usize) -> Vec<u64> {
        let mut hashes = Vec::new();
        for bucket in self.entries.chunk_by(|left, right| left.bucket == right.bucket) {
            if !hashes.is_empty() && hashes.len() + bucket.len() > max_hashes {
                break;
            }
            hashes.extend(bucket.iter().map(|entry| entry.hash));
        }
        hashes
    }
}

fn bucket_index(key: &Key) -> usize {
    let hash = arbutuslane_core::hash::of_bytes(format!("{key:?}").as_bytes());
    usize::try_from(hash % BUCKET_COUNT as u64).unwrap_or(0)
}

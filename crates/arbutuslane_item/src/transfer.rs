//! Decides in which parts a process fetches the items that it lacks.
//!
//! A comparison names the differing items by their hashes. They are fetched a part at a time, and every
//! part that arrives is kept, so that a transfer advances on any link that delivers at least one item
//! within the timeout of a request. The parts grow while they arrive quickly and shrink when one does
//! not arrive in time. The decisions answer a table that is far larger than what the link delivers
//! within one timeout: a process that joins, or a change of thousands of items.

use std::time::Duration;

use crate::table::Table;

/// The number of items of the first part.
pub const FIRST_PART_ITEMS: usize = 64;

/// The largest number of items of a part; bounds the memory and the time of one request.
pub const MAX_PART_ITEMS: usize = 512;

/// The largest number of items that the response to a comparison contains; of more items it names the
/// hashes, so that only those that are missing are sent.
pub const MAX_COMPARED_ITEMS: usize = 16;

/// The largest number of hashes in one message, unless one bucket has more items.
pub const MAX_HASHES: usize = 4_096;

/// The time of a request up to which the next part is larger.
const QUICK_PART: Duration = Duration::from_millis(200);

/// The number of peers that may lack an item before it is no longer requested. An item that was
/// replaced meanwhile is at no peer; the next comparison names its newer version.
const MAX_MISSES: u8 = 3;

/// The items that a process lacks, and the size of the next part.
///
/// ```
/// use std::time::Duration;
///
/// use arbutuslane_item::prelude::*;
/// use arbutuslane_item::transfer::Pull;
///
/// let item = Item::removal(Key::Route("r1".to_string()), 4);
/// let mut pull = Pull::default();
/// pull.want(&Table::default(), &[item.hash()]);
/// assert_eq!(pull.next_part(), [item.hash()]);
/// pull.record_part(&[item.hash()], &[item.hash()], Duration::from_millis(5));
/// assert!(pull.is_done());
/// ```
#[derive(Debug, Clone)]
pub struct Pull {
    wanted: Vec<Wanted>,
    part_items: usize,
}

/// A missing item.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Wanted {
    hash: u64,
    /// The number of peers that were asked for the item and do not have it.
    misses: u8,
}

impl Default for Pull {
    fn default() -> Self {
        Self { wanted: Vec::new(), part_items: FIRST_PART_ITEMS }
    }
}

impl Pull {
    /// Adds the items with `hashes` that are not in `table`.
    pub fn want(&mut self, table: &Table, hashes: &[u64]) {
        let known: Vec<u64> = self.wanted.iter().map(|wanted| wanted.hash).collect();
        let known = sorted(&known);
        for hash in table.missing_hashes(hashes) {
            if known.binary_search(&hash).is_err() {
                self.wanted.push(Wanted { hash, misses: 0 });
            }
        }
    }

    /// Drops the items that `table` has by now, because they arrived in another way.
    pub fn drop_held(&mut self, table: &Table) {
        let wanted: Vec<u64> = self.wanted.iter().map(|wanted| wanted.hash).collect();
        let missing = sorted(&table.missing_hashes(&wanted));
        self.wanted.retain(|wanted| missing.binary_search(&wanted.hash).is_ok());
    }

    /// Returns whether no item is missing.
    pub fn is_done(&self) -> bool {
        self.wanted.is_empty()
    }

    /// Returns the number of missing items.
    pub fn missing_count(&self) -> usize {
        self.wanted.len()
    }

    /// Returns the hashes of the items to request next.
    pub fn next_part(&self) -> Vec<u64> {
        self.wanted.iter().take(self.part_items).map(|wanted| wanted.hash).collect()
    }

    /// Records the response to a request for `part`: the hashes of the items that it contained, and
    /// the time that it took.
    ///
    /// Items that the peer does not have are requested again after the others, unless several peers
    /// lacked them.
    pub fn record_part(&mut self, part: &[u64], received: &[u64], elapsed: Duration) {
        let (part, received) = (sorted(part), sorted(received));
        let mut missed = Vec::new();
        self.wanted.retain(|wanted| {
            let is_requested = part.binary_search(&wanted.hash).is_ok();
            if is_requested && received.binary_search(&wanted.hash).is_err() {
                missed.push(Wanted { misses: wanted.misses + 1, ..*wanted });
            }
            !is_requested
        });
        missed.retain(|wanted| wanted.misses < MAX_MISSES);
        self.wanted.extend(missed);
        if elapsed <= QUICK_PART {
            self.part_items = (self.part_items * 2).min(MAX_PART_ITEMS);
        }
    }

    /// Records that no complete response to a request arrived in time.
    pub fn record_failure(&mut self) {
        self.part_items = (self.part_items / 2).max(1);
    }
}

fn sorted(hashes: &[u64]) -> Vec<u64> {
    let mut sorted = hashes.to_vec();
    sorted.sort_unstable();
    sorted
}

//! The ids that callers gave to the exchanges of one connection.
//!
//! Callers may give the same id to several requests, or none. A server may send a response a second
//! time, at any later time, and the id then does not tell the copy from the response to a later
//! request with that id. Such a request is therefore sent on a connection that has not carried the
//! id.

use arbutuslane_core::hash;

/// The number of exchanges after which a connection is not reused, so that the list stays short. It
/// then takes 4 KiB.
const MAX_IDS: usize = 512;

/// The hashes of the ids, in ascending order.
#[derive(Debug, Default)]
pub(super) struct UsedIds(Vec<u64>);

impl UsedIds {
    /// Adds an id.
    pub(super) fn add(&mut self, id: &str) {
        let hash = hash::of_bytes(id.as_bytes());
        if let Err(index) = self.0.binary_search(&hash) {
            self.0.insert(index, hash);
        }
    }

    /// Returns whether `id` may have been added.
    pub(super) fn contains(&self, id: &str) -> bool {
        self.0.binary_search(&hash::of_bytes(id.as_bytes())).is_ok()
    }

    /// Returns whether the list has reached its limit.
    pub(super) fn is_full(&self) -> bool {
        self.0.len() >= MAX_IDS
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a list that grows with the life of its connection, and against an id that is
    /// not found again.
    #[test]
    fn add_until_full() {
        let mut used = UsedIds::default();
        let mut added = 0;
        while !used.is_full() {
            used.add(&format!("id-{added}"));
            added += 1;
        }
        assert_eq!(added, MAX_IDS);
        assert!(used.contains("id-0") && used.contains("id-511"));
        assert!(!used.contains("") && !used.contains("id-512"));
    }
}

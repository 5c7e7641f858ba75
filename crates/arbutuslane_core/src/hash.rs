//! Stable hashing: the same input gives the same hash in every process and release.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::id::Shard;

/// Returns the 64-bit hash of `bytes`.
pub fn of_bytes(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Returns the shard of the register of `key`.
///
/// # Panics
///
/// Panics when `shards` is zero.
pub fn shard_of(key: &str, shards: u32) -> Shard {
    Shard::try_from(of_bytes(key.as_bytes()) % u64::from(shards)).unwrap_or(0)
}

/// Returns the rendezvous (highest random weight) score of `member` for `key`.
pub fn weight(member: &str, key: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), of_bytes(key.as_bytes()))
}

/// Returns the `count` members with the highest rendezvous weight for `key`, highest first.
///
/// When a member leaves, only that member is replaced; the other chosen members stay the same.
pub fn rendezvous(members: &[String], key: &str, count: usize) -> Vec<String> {
    let mut ranked: Vec<(u64, &String)> =
        members.iter().map(|member| (weight(member, key), member)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().take(count).map(|(_, member)| member.clone()).collect()
}

#[cfg(test)]
mod tests {
    use quickcheck::{Gen, QuickCheck};

    use super::*;

    /// Guards against the departure of one member that also replaces others.
    #[expect(clippy::needless_pass_by_value, reason = "quickcheck passes owned values")]
    fn rendezvous_keeps_survivors(names: Vec<u16>, key: String, removed_index: usize) -> bool {
        let mut members: Vec<String> = names.iter().map(|name| format!("n{name}")).collect();
        members.sort_unstable();
        members.dedup();
        if members.len() < 2 {
            return true;
        }
        let before = rendezvous(&members, &key, 3);
        let removed = members.remove(removed_index % members.len());
        let after = rendezvous(&members, &key, 3);
        before.iter().filter(|member| **member != removed).all(|member| after.contains(member))
    }

    #[test]
    fn rendezvous_departure() {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(40, 11))
            .quickcheck(rendezvous_keeps_survivors as fn(Vec<u16>, String, usize) -> bool);
    }

    #[test]
    fn shard_of_range() {
        for key in ["a", "booking-17", ""] {
            assert!(shard_of(key, 64) < 64);
        }
    }
}

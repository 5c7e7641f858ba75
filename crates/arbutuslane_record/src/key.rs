//! Keys of registers and their shards.

use arbutuslane_core::hash;
use arbutuslane_core::id::Shard;

/// The key of a register: a 128-bit hash, so that a replica stores no text.
pub type Key = u128;

/// Returns the register key for the idempotency key `text` of a request to `service`.
///
/// ```
/// use arbutuslane_record::key;
///
/// assert_ne!(key::of("bookings", "order-17"), key::of("agenda", "order-17"));
/// ```
pub fn of(service: &str, text: &str) -> Key {
    let high = hash::weight(text, service);
    let low = hash::weight(service, text);
    u128::from(high) << 64 | u128::from(low)
}

/// Returns the shard of `key` when there are `shards` shards.
///
/// # Panics
///
/// Panics when `shards` is zero.
pub fn shard(key: Key, shards: u32) -> Shard {
    Shard::try_from(hash::of_bytes(&key.to_le_bytes()) % u64::from(shards)).unwrap_or(0)
}

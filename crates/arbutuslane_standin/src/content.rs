//! Generates deterministic bytes of downloads, so that a caller can check any part of one.

use arbutuslane_core::hash;

/// The request header with the caller's name for the request; the response echoes it.
pub const REQUEST_HEADER: &str = "standin-request";

/// The header of a request that makes the server process exit before it responds.
pub const CRASH_HEADER: &str = "standin-crash";

/// Returns `length` bytes of the download `name`, starting at `offset`.
pub fn bytes(name: &str, offset: u64, length: usize) -> Vec<u8> {
    let seed = hash::of_bytes(name.as_bytes());
    let mut bytes = Vec::with_capacity(length + 8);
    let mut word = offset / 8;
    let skip = usize::try_from(offset % 8).unwrap_or(0);
    while bytes.len() < length + skip {
        // Multiplicative mixing is enough to distinguish positions and names.
        let mixed = (word ^ seed).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29) ^ word;
        bytes.extend_from_slice(&mixed.to_le_bytes());
        word += 1;
    }
    bytes.drain(..skip);
    bytes.truncate(length);
    bytes
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a resumed download whose bytes depend on the offset at which it was resumed.
    #[test]
    fn bytes_any_offset() {
        let whole = bytes("a", 0, 100);
        for offset in 0..100 {
            let rest = bytes("a", offset as u64, 100 - offset);
            assert_eq!(rest, whole[offset..], "{offset}");
        }
        assert_ne!(whole, bytes("b", 0, 100));
    }
}

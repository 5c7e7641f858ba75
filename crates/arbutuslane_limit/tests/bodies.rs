//! The memory for request bodies.

use arbutuslane_limit::memory::{Memory, Reservation};
use quickcheck::{Gen, QuickCheck};

/// Guards against held bodies above the limit, and against memory that is not released.
fn limit_kept(steps: Vec<(u8, u16)>) -> bool {
    const LIMIT: usize = 100_000;
    let memory = Memory::new(LIMIT);
    let mut held: Vec<(Reservation, usize)> = Vec::new();
    for (body, bytes) in steps {
        let body = usize::from(body % 16);
        let bytes = usize::from(bytes);
        if body >= held.len() {
            held.push((memory.reserve(), 0));
            continue;
        }
        if bytes % 7 == 0 {
            held.swap_remove(body);
            continue;
        }
        let before: usize = held.iter().map(|(_, bytes)| bytes).sum();
        let has_grown = held[body].0.grow(bytes);
        if has_grown != (before + bytes <= LIMIT) {
            return false;
        }
        held[body].1 += if has_grown { bytes } else { 0 };
        let expected: usize = held.iter().map(|(_, bytes)| bytes).sum();
        if memory.used() != expected {
            return false;
        }
    }
    drop(held);
    memory.used() == 0
}

#[test]
fn memory_limit() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(300, 31))
        .tests(200)
        .quickcheck(limit_kept as fn(Vec<(u8, u16)>) -> bool);
}

//! Shares of services over any number of consecutive requests.

use arbutuslane_balance::share::WeightedRoundRobin;
use quickcheck::{Gen, QuickCheck};

/// Guards against a service that gets more or less than its share of some sequence of requests, for
/// any start position.
#[test]
fn next_exact() {
    fn property(weights: Vec<u8>, start: u64, requests: u8) -> bool {
        let weights: Vec<(String, u32)> = weights
            .into_iter()
            .take(6)
            .enumerate()
            .map(|(index, weight)| (format!("s{index}"), u32::from(weight)))
            .collect();
        let sum: u32 = weights.iter().map(|(_, weight)| weight).sum();
        if sum == 0 {
            return true;
        }
        let mut sequence = WeightedRoundRobin::new(&weights, start);
        let mut counts = vec![0_u32; weights.len()];
        for _ in 0..requests {
            let service = sequence.next_service();
            let index = weights.iter().position(|(name, _)| *name == service).unwrap();
            counts[index] += 1;
        }
        let tolerance = weights.len() as f64;
        weights.iter().zip(&counts).all(|((_, weight), count)| {
            let expected = f64::from(*weight) / f64::from(sum) * f64::from(requests);
            (f64::from(*count) - expected).abs() <= tolerance && (*weight > 0 || *count == 0)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 3))
        .tests(3_000)
        .quickcheck(property as fn(Vec<u8>, u64, u8) -> bool);
}

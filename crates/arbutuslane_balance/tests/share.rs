//! Shares of services over any stretch of requests.

use arbutuslane_balance::share::Share;
use quickcheck::{Gen, QuickCheck};

/// Guards against a service that gets more or less than its weight over some stretch of requests,
/// wherever the node starts.
#[test]
fn next_exact() {
    fn property(weights: Vec<u8>, start: u64, stretch: u8) -> bool {
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
        let mut share = Share::new(&weights, start);
        let mut dealt = vec![0_u32; weights.len()];
        for _ in 0..stretch {
            let service = share.deal();
            let index = weights.iter().position(|(name, _)| *name == service).unwrap();
            dealt[index] += 1;
        }
        let parts = weights.len() as f64;
        weights.iter().zip(&dealt).all(|((_, weight), dealt)| {
            let due = f64::from(*weight) / f64::from(sum) * f64::from(stretch);
            (f64::from(*dealt) - due).abs() <= parts && (*weight > 0 || *dealt == 0)
        })
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 3))
        .tests(3_000)
        .quickcheck(property as fn(Vec<u8>, u64, u8) -> bool);
}

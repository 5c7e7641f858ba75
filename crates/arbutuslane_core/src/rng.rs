//! Seeded randomness, which makes every decision reproducible.

use rand::SeedableRng;

/// The random number generator that is passed to decision code.
pub type Rng = rand_pcg::Pcg64Mcg;

/// Returns a generator whose sequence is determined by `seed`.
///
/// ```
/// use arbutuslane_core::rng;
/// use rand::RngExt;
///
/// let mut first = rng::seeded(7);
/// let mut second = rng::seeded(7);
/// assert_eq!(first.random::<u64>(), second.random::<u64>());
/// ```
pub fn seeded(seed: u64) -> Rng {
    Rng::seed_from_u64(seed)
}

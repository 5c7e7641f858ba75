//! Service-time distributions.

use std::f64::consts::TAU;

use arbutuslane_core::rng::{self, Rng};
use rand::RngExt;

/// A log-normal distribution with a Pareto tail.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// The median in seconds.
    pub median: f64,
    /// The standard deviation of the logarithm.
    pub sigma: f64,
    /// The share of requests whose time is multiplied by a Pareto factor.
    pub tail_share: f64,
    /// The exponent of the Pareto distribution of the factor.
    pub tail_exponent: f64,
    /// The largest factor, which keeps the mean finite and measurable.
    pub tail_limit: f64,
}

impl Shape {
    /// Draws a service time in seconds.
    pub fn draw(&self, rng: &mut Rng) -> f64 {
        let base = self.median * (self.sigma * normal(rng)).exp();
        if rng.random::<f64>() >= self.tail_share {
            return base;
        }
        let factor = (1.0 - rng.random::<f64>()).powf(-1.0 / self.tail_exponent);
        base * factor.min(self.tail_limit)
    }

    /// Returns the mean in seconds from 100,000 draws with a fixed seed.
    pub fn mean(&self) -> f64 {
        let mut rng = rng::seeded(1);
        (0..100_000).map(|_| self.draw(&mut rng)).sum::<f64>() / 100_000.0
    }
}

/// Draws from the exponential distribution with `mean`.
pub fn exponential(mean: f64, rng: &mut Rng) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Draws from the normal distribution with mean 0 and variance 1 (Box-Muller).
fn normal(rng: &mut Rng) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    radius * (TAU * rng.random::<f64>()).cos()
}

//! Weighted distribution of a route's requests over services.

use arbutuslane_core::id::ServiceName;

/// Distributes the requests of one route over services in proportion to their weights.
///
/// It uses smooth weighted round robin: after any number of requests, each service has had its
/// share of them within one request, so that shares are exact also over few requests. Nodes start
/// at different positions of the sequence, so that their deviations do not add up.
///
/// ```
/// use arbutuslane_balance::share::WeightedRoundRobin;
///
/// let weights = [("a".to_string(), 3), ("b".to_string(), 1)];
/// let mut sequence = WeightedRoundRobin::new(&weights, 0);
/// let services: Vec<String> = (0..4).map(|_| sequence.next_service()).collect();
/// assert_eq!(services.iter().filter(|service| *service == "a").count(), 3);
/// ```
#[derive(Debug, Clone)]
pub struct WeightedRoundRobin {
    weights: Vec<(ServiceName, u32)>,
    /// The requests that each service is owed, multiplied by the sum of the weights.
    owed: Vec<i64>,
}

/// The number of requests below which the start position in the sequence lies.
const MAX_START_POSITIONS: u64 = 1_000;

impl WeightedRoundRobin {
    /// Returns the distribution for `weights`, started at a position derived from `start`.
    pub fn new(weights: &[(ServiceName, u32)], start: u64) -> Self {
        let mut sequence = Self { weights: weights.to_vec(), owed: vec![0; weights.len()] };
        let sum: u64 = weights.iter().map(|(_, weight)| u64::from(*weight)).sum();
        for _ in 0..start % sum.clamp(1, MAX_START_POSITIONS) {
            sequence.next_service();
        }
        sequence
    }

    /// Returns whether requests are distributed by `weights`.
    pub fn has_weights(&self, weights: &[(ServiceName, u32)]) -> bool {
        self.weights == weights
    }

    /// Returns the service for the next request, or an empty name when there are no services.
    pub fn next_service(&mut self) -> ServiceName {
        let mut sum = 0;
        let mut chosen = 0;
        for (index, (_, weight)) in self.weights.iter().enumerate() {
            sum += i64::from(*weight);
            self.owed[index] += i64::from(*weight);
            if self.owed[index] > self.owed[chosen] {
                chosen = index;
            }
        }
        let Some((service, _)) = self.weights.get(chosen) else { return ServiceName::new() };
        self.owed[chosen] -= sum;
        service.clone()
    }
}

//! Exact shares of a route's requests between services.

use arbutuslane_core::id::ServiceName;

/// Deals the requests of one route to services in proportion to their weights.
///
/// After every `n` requests each service has had its share of them within one request (smooth
/// weighted round robin), so that shares are exact also over few requests. Nodes start at different
/// places, so that their deviations do not add up.
///
/// ```
/// use arbutuslane_balance::share::Share;
///
/// let weights = [("a".to_string(), 3), ("b".to_string(), 1)];
/// let mut share = Share::new(&weights, 0);
/// let dealt: Vec<String> = (0..4).map(|_| share.deal()).collect();
/// assert_eq!(dealt.iter().filter(|service| *service == "a").count(), 3);
/// ```
#[derive(Debug, Clone)]
pub struct Share {
    weights: Vec<(ServiceName, u32)>,
    /// What each service is owed, in units of the sum of the weights.
    owed: Vec<i64>,
}

/// The most steps by which the starts of nodes differ.
const STARTS: u64 = 1_000;

impl Share {
    /// Returns the shares for `weights` after as many requests as `start` selects.
    pub fn new(weights: &[(ServiceName, u32)], start: u64) -> Self {
        let mut share = Self { weights: weights.to_vec(), owed: vec![0; weights.len()] };
        let sum: u64 = weights.iter().map(|(_, weight)| u64::from(*weight)).sum();
        for _ in 0..start % sum.clamp(1, STARTS) {
            share.deal();
        }
        share
    }

    /// Returns whether the shares are those of `weights`.
    pub fn is_for(&self, weights: &[(ServiceName, u32)]) -> bool {
        self.weights == weights
    }

    /// Returns the service for the next request, or an empty name when there are no weights.
    pub fn deal(&mut self) -> ServiceName {
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

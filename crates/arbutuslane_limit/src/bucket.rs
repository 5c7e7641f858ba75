//! Token buckets for the rates of callers, routes and services.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// A token bucket; it starts full.
///
/// Time that runs backwards adds no tokens. Tokens are counted in billionths, so that no rounding
/// error accumulates.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: u32,
    capacity: u64,
    level: u64,
    refilled: Time,
}

/// One token in the unit of the level.
const TOKEN: u64 = 1_000_000_000;

impl Bucket {
    /// Returns a full bucket of `burst` tokens that gains `rate` tokens a second.
    pub fn new(rate: u32, burst: u32, now: Time) -> Self {
        let capacity = u64::from(burst) * TOKEN;
        Self { rate, capacity, level: capacity, refilled: now }
    }

    /// Takes one token when at least `reserve` are left after it, and returns whether it did.
    pub fn take_above(&mut self, reserve: u32, now: Time) -> bool {
        self.refill(now);
        let is_allowed = self.level >= u64::from(reserve + 1) * TOKEN;
        if is_allowed {
            self.level -= TOKEN;
        }
        is_allowed
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available when there is none.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= TOKEN {
            self.level -= TOKEN;
            return Ok(());
        }
        if self.rate == 0 || self.capacity < TOKEN {
            return Err(Duration::MAX);
        }
        Err(Duration::from_nanos((TOKEN - self.level).div_ceil(u64::from(self.rate))))
    }

    /// Changes the rate and burst, as after a change of the catalogue.
    pub fn reconfigure(&mut self, rate: u32, burst: u32, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.capacity = u64::from(burst) * TOKEN;
        self.level = self.level.min(self.capacity);
    }

    fn refill(&mut self, now: Time) {
        let Some(elapsed) = now.checked_sub(self.refilled) else { return };
        let nanos = u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX);
        let gained = nanos.saturating_mul(u64::from(self.rate));
        self.level = self.level.saturating_add(gained).min(self.capacity);
        self.refilled = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a retry-after that is too short to find a token.
    #[test]
    fn take_wait_suffices() {
        let mut bucket = Bucket::new(3, 1, Duration::ZERO);
        assert_eq!(bucket.take(Duration::ZERO), Ok(()));
        let wait = bucket.take(Duration::ZERO).unwrap_err();
        assert!(bucket.take(wait - Duration::from_nanos(2)).is_err());
        assert_eq!(bucket.take(wait), Ok(()));
    }
}

//! Token buckets for the rates of callers, routes and services.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// A token bucket; it starts full.
///
/// A clock that runs backwards adds no tokens. Tokens are counted in billionths, so that rounding
/// errors do not accumulate.
#[derive(Debug, Clone)]
pub struct Bucket {
    rate: u32,
    capacity: u64,
    level: u64,
    refilled_at: Time,
}

/// The number of units of `capacity` and `level` in one token.
const UNITS_PER_TOKEN: u64 = 1_000_000_000;

impl Bucket {
    /// Returns a full bucket of `burst` tokens that gains `rate` tokens per second.
    pub fn new(rate: u32, burst: u32, now: Time) -> Self {
        let capacity = u64::from(burst) * UNITS_PER_TOKEN;
        Self { rate, capacity, level: capacity, refilled_at: now }
    }

    /// Takes one token if at least `reserve` tokens remain after it, and returns whether it was
    /// taken.
    pub fn take_with_reserve(&mut self, reserve: u32, now: Time) -> bool {
        self.refill(now);
        let has_token = self.level >= u64::from(reserve + 1) * UNITS_PER_TOKEN;
        if has_token {
            self.level -= UNITS_PER_TOKEN;
        }
        has_token
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available, or `Duration::MAX` when none ever will be.
    pub fn take(&mut self, now: Time) -> Result<(), Duration> {
        self.refill(now);
        if self.level >= UNITS_PER_TOKEN {
            self.level -= UNITS_PER_TOKEN;
            return Ok(());
        }
        if self.rate == 0 || self.capacity < UNITS_PER_TOKEN {
            return Err(Duration::MAX);
        }
        Err(Duration::from_nanos((UNITS_PER_TOKEN - self.level).div_ceil(u64::from(self.rate))))
    }

    /// Changes the rate and burst, for example after a catalogue change. Tokens beyond the new
    /// burst are lost.
    pub fn reconfigure(&mut self, rate: u32, burst: u32, now: Time) {
        self.refill(now);
        self.rate = rate;
        self.capacity = u64::from(burst) * UNITS_PER_TOKEN;
        self.level = self.level.min(self.capacity);
    }

    fn refill(&mut self, now: Time) {
        let Some(elapsed) = now.checked_sub(self.refilled_at) else { return };
        let nanos = u64::try_from(elapsed.as_nanos()).unwrap_or(u64::MAX);
        let gained = nanos.saturating_mul(u64::from(self.rate));
        self.level = self.level.saturating_add(gained).min(self.capacity);
        self.refilled_at = now;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a returned wait after which no token is available yet.
    #[test]
    fn take_wait_suffices() {
        let mut bucket = Bucket::new(3, 1, Duration::ZERO);
        assert_eq!(bucket.take(Duration::ZERO), Ok(()));
        let wait = bucket.take(Duration::ZERO).unwrap_err();
        assert!(bucket.take(wait - Duration::from_nanos(2)).is_err());
        assert_eq!(bucket.take(wait), Ok(()));
    }
}

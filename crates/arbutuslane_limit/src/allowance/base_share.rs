//! The tokens of a workspace that an entry earns without a lender.

use std::time::Duration;

use arbutuslane_core::time::Time;

/// The base share of one workspace at one entry. At most one token is saved, and it expires.
#[derive(Debug, Clone)]
pub(super) struct BaseShare {
    /// The part of the next token that is earned, below 1.
    progress: f64,
    updated_at: Time,
    /// The time at which the saved token was earned, or `None` after it was spent.
    earned_at: Option<Time>,
}

impl BaseShare {
    /// Returns a share without a token that has `progress` of its first one at the time `since`.
    ///
    /// Entries that start together need different values. Otherwise all earn their tokens at the
    /// same time.
    pub(super) fn new(progress: f64, since: Time) -> Self {
        Self { progress, updated_at: since, earned_at: None }
    }

    /// Adds what was earned up to `now` at `rate` tokens a second.
    pub(super) fn refill(&mut self, rate: f64, now: Time) {
        let Some(elapsed) = now.checked_sub(self.updated_at) else { return };
        self.updated_at = now;
        self.progress += elapsed.as_secs_f64() * rate;
        if self.progress >= 1.0 {
            self.progress = self.progress.fract();
            self.earned_at = Some(now.saturating_sub(super::time_to_earn(self.progress, rate)));
        }
    }

    /// Takes the saved token if it was earned less than `lifetime` ago, and returns whether it was
    /// taken.
    pub(super) fn take(&mut self, lifetime: Duration, now: Time) -> bool {
        self.earned_at.take().is_some_and(|earned_at| now < earned_at + lifetime)
    }

    /// Drops the saved token.
    pub(super) fn clear(&mut self) {
        self.earned_at = None;
    }

    /// Returns the time until the next token is earned.
    pub(super) fn wait(&self, rate: f64) -> Duration {
        super::time_to_earn(1.0 - self.progress, rate)
    }
}

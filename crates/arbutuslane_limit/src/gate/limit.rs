//! The rate of requests that a server states.

use std::time::Duration;

use arbutuslane_core::time::Time;

use super::{Gate, QueueChange};
use crate::pace::Pace;

impl Gate {
    /// Changes the number of requests that the server accepts in a second, or with `None` lifts the
    /// limit. Refuses the queued requests that cannot start at the new rate before their deadlines.
    pub fn set_limit(&mut self, per_second: Option<f64>, now: Time) -> QueueChange {
        match (&mut self.pace, per_second) {
            (Some(pace), Some(per_second)) => pace.set_rate(per_second, now),
            (pace, per_second) => {
                *pace = per_second.map(|per_second| Pace::new(per_second, now));
            }
        }
        let mut change = self.fill_slots(now);
        if let Some(pace) = &self.pace {
            let mut ahead = 0;
            self.queue.retain(|waiting| {
                let starts_in_time =
                    pace.wait_behind(ahead, now) < waiting.arrival.deadline.remaining(now);
                match starts_in_time {
                    true => ahead += 1,
                    false => change.refuse.push(waiting.ticket),
                }
                starts_in_time
            });
        }
        change
    }

    /// Returns whether the server states a limit on the rate of its requests.
    pub fn is_limited(&self) -> bool {
        self.pace.is_some()
    }

    /// Returns the time until a queued request may start although no running one finishes, or `None`
    /// if there is none.
    ///
    /// The owner then calls [`advance`](Gate::advance).
    pub fn next_start(&self, now: Time) -> Option<Duration> {
        let pace = self.pace.as_ref()?;
        let has_slot = self.running.len() < self.slots && !self.queue.is_empty();
        has_slot.then(|| pace.wait(now))
    }

    /// Starts the queued requests whose time has come.
    pub fn advance(&mut self, now: Time) -> QueueChange {
        self.fill_slots(now)
    }

    /// Returns whether a free slot stays free because of the stated rate.
    pub fn is_paced(&self, now: Time) -> bool {
        self.pace.as_ref().is_some_and(|pace| pace.wait(now) > Duration::ZERO)
    }
}

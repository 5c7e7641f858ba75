//! The summary of a server's peers that an entry sends to the server's owner.

use std::time::Duration;

use arbutuslane_catalogue::entry::Class;

/// The performance of one server's peers for one class of requests, as one entry measured it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Summary {
    /// The class.
    pub class: Class,
    /// The decayed number of requests on which the quantiles are based.
    pub weight: f32,
    /// The median latency of successful requests, measured at their owners.
    pub median: Duration,
    /// The 90th percentile of that latency.
    pub p90: Duration,
    /// The decayed number of requests in about the last second.
    pub recent: f32,
    /// The share of those requests that failed.
    pub failed: f32,
    /// The share of those requests that were slower than the 90th percentile.
    pub slow: f32,
}

impl Summary {
    /// Returns the summary as the value of the baseline header.
    pub fn encode(&self) -> String {
        format!(
            "{},{:.1},{},{},{:.1},{:.4},{:.4}",
            self.class.index(),
            self.weight,
            self.median.as_micros(),
            self.p90.as_micros(),
            self.recent,
            self.failed,
            self.slow
        )
    }

    /// Returns the summary that `value` encodes, or `None` when it is malformed or implausible.
    pub fn parse(value: &str) -> Option<Self> {
        let mut fields = value.split(',');
        let class = *Class::ALL.get(fields.next()?.parse::<usize>().ok()?)?;
        let mut number = || -> Option<f32> {
            let number: f32 = fields.next()?.parse().ok()?;
            (number.is_finite() && number >= 0.0).then_some(number)
        };
        let weight = number()?;
        let median = Duration::from_micros(fields.next()?.parse().ok()?);
        let p90 = Duration::from_micros(fields.next()?.parse().ok()?);
        let mut number = || -> Option<f32> {
            let number: f32 = fields.next()?.parse().ok()?;
            (number.is_finite() && number >= 0.0).then_some(number)
        };
        let recent = number()?;
        let failed = number().filter(|share| *share <= 1.0)?;
        let slow = number().filter(|share| *share <= 1.0)?;
        let summary = Self { class, weight, median, p90, recent, failed, slow };
        (fields.next().is_none() && median <= p90).then_some(summary)
    }
}

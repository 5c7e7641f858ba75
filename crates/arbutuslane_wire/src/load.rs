//! The load of a backend server, which its owner reports on every response.

/// A load report; encoded as `in_flight,queued,slots,latency_us,state,ramp_percent`.
///
/// ```
/// use arbutuslane_wire::load::{Report, Serving};
///
/// let report = Report {
///     in_flight: 3,
///     queued: 0,
///     slots: 5,
///     latency_us: 20_000,
///     serving: Serving::Open,
///     ramp_percent: 100,
/// };
/// assert_eq!(Report::parse(&report.encode()), Some(report));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that the server is running.
    pub in_flight: u32,
    /// Requests that wait for a slot in the owner's queue.
    pub queued: u32,
    /// Requests that the server can run at a time.
    pub slots: u32,
    /// Recent latency of the request's class in microseconds.
    pub latency_us: u32,
    /// Which requests the server accepts.
    pub serving: Serving,
    /// The share of its full load that a server accepts after a cold start, in percent.
    pub ramp_percent: u32,
}

/// Which requests a backend server accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Serving {
    /// Accepts all requests.
    Open,
    /// Accepts trial requests only.
    Ejected,
    /// Accepts no new requests and is about to leave.
    Draining,
}

impl Report {
    /// Returns the header value of this report.
    pub fn encode(&self) -> String {
        let serving = match self.serving {
            Serving::Open => "open",
            Serving::Ejected => "ejected",
            Serving::Draining => "draining",
        };
        format!(
            "{},{},{},{},{},{}",
            self.in_flight, self.queued, self.slots, self.latency_us, serving, self.ramp_percent
        )
    }

    /// Returns the report encoded in `value`, or `None` when `value` is malformed.
    pub fn parse(value: &str) -> Option<Self> {
        let mut fields = value.split(',');
        let report = Self {
            in_flight: fields.next()?.parse().ok()?,
            queued: fields.next()?.parse().ok()?,
            slots: fields.next()?.parse().ok()?,
            latency_us: fields.next()?.parse().ok()?,
            serving: match fields.next()? {
                "open" => Serving::Open,
                "ejected" => Serving::Ejected,
                "draining" => Serving::Draining,
                _ => return None,
            },
            ramp_percent: fields.next()?.parse().ok()?,
        };
        fields.next().is_none().then_some(report)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Guards against a malformed header that is parsed as a plausible load.
    #[test]
    fn parse_malformed() {
        for value in ["", "1,2", "1,2,5,9,open", "1,2,5,9,closed,100", "1,2,5,9,open,100,7"] {
            assert_eq!(Report::parse(value), None, "{value}");
        }
    }
}

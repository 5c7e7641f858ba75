//! Decides when to fetch the configuration from control and whether control is reachable.

use std::time::Duration;

use arbutuslane_core::time::{Time, millis};
use arbutuslane_event::kind::Kind;

/// The time between two fetches while gossip does not bring the newest revision. Together with
/// [`GOSSIP_FRESHNESS`] it stays below the 8 s within which a revision is in force everywhere.
const FREQUENT_FETCH_INTERVAL: Duration = Duration::from_secs(2);

/// The shortest time between two fetches while gossip brings the newest revision: 47 requests a
/// second from 1,400 nodes instead of 700.
const RARE_FETCH_INTERVAL: Duration = Duration::from_secs(28);

/// The range in milliseconds by which the rare interval differs among nodes, so that nodes that
/// started together do not always fetch at the same time.
const RARE_FETCH_JITTER_MS: u64 = 4_000;

/// The age up to which a gossip exchange shows that this node has the newest revision. Nodes gossip
/// once a second.
const GOSSIP_FRESHNESS: Duration = Duration::from_secs(5);

/// How long fetches and reports must fail before control counts as unreachable. An election or the
/// restart of a control instance takes less.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(10);

/// The state of a node's contact with control.
#[derive(Debug)]
pub(crate) struct ControlContact {
    rare_interval: Duration,
    last_fetch: Option<Time>,
    last_gossip: Option<Time>,
    /// Whether the last fetch returned a revision that gossip had not brought.
    is_behind: bool,
    last_success: Time,
    failing_since: Option<Time>,
    is_unreachable: bool,
}

impl ControlContact {
    /// Returns the state of a node before its first fetch; `hash` spreads the nodes over time.
    pub(crate) fn new(now: Time, hash: u64) -> Self {
        Self {
            rare_interval: RARE_FETCH_INTERVAL + Duration::from_millis(hash % RARE_FETCH_JITTER_MS),
            last_fetch: None,
            last_gossip: None,
            is_behind: true,
            last_success: now,
            failing_since: None,
            is_unreachable: false,
        }
    }

    /// Records a gossip exchange, which brings the revision of the peer.
    pub(crate) fn record_gossip(&mut self, now: Time) {
        self.last_gossip = Some(now);
    }

    /// Returns whether a fetch from control is due now, and if so counts it as made.
    pub(crate) fn is_due(&mut self, now: Time) -> bool {
        let is_fresh = self.last_gossip.is_some_and(|last| now < last + GOSSIP_FRESHNESS);
        let use_rare = is_fresh && !self.is_behind && self.failing_since.is_none();
        let interval = if use_rare { self.rare_interval } else { FREQUENT_FETCH_INTERVAL };
        if self.last_fetch.is_some_and(|last| now < last + interval) {
            return false;
        }
        self.last_fetch = Some(now);
        true
    }

    /// Records a response to a fetch; returns the event when control was unreachable before.
    pub(crate) fn record_fetch(&mut self, now: Time, is_newer: bool) -> Option<Kind> {
        self.is_behind = is_newer;
        self.record_success(now)
    }

    /// Records that a control instance responded; returns the event when control was unreachable
    /// before.
    pub(crate) fn record_success(&mut self, now: Time) -> Option<Kind> {
        let out_ms = millis(now.saturating_sub(self.last_success));
        self.last_success = now;
        self.failing_since = None;
        std::mem::take(&mut self.is_unreachable).then_some(Kind::ControlReachable { out_ms })
    }

    /// Records a failed fetch or report; returns the event when control now counts as unreachable.
    pub(crate) fn record_failure(&mut self, now: Time) -> Option<Kind> {
        let since = *self.failing_since.get_or_insert(now);
        if self.is_unreachable || now < since + UNREACHABLE_AFTER {
            return None;
        }
        self.is_unreachable = true;
        let silent_ms = millis(now.saturating_sub(self.last_success));
        Some(Kind::ControlUnreachable { silent_ms })
    }

    /// Returns whether control counts as unreachable.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Duration::from_millis(ms)
    }

    /// Returns the times in milliseconds of the fetches within two minutes, when a gossip exchange
    /// takes place at each second for which `gossips` is true.
    fn fetch_times(gossips: impl Fn(u64) -> bool) -> Vec<u64> {
        let mut contact = ControlContact::new(Time::ZERO, 0);
        let mut fetches = Vec::new();
        for now in (0..120_000).step_by(100) {
            if now % 1_000 == 0 && gossips(now) {
                contact.record_gossip(at(now));
            }
            if contact.is_due(at(now)) {
                fetches.push(now);
                assert_eq!(contact.record_fetch(at(now), false), None);
            }
        }
        fetches
    }

    /// Guards against 700 fetches a second from 1,400 nodes whose peers bring each revision.
    #[test]
    fn is_due_gossip() {
        assert_eq!(fetch_times(|_| true).len(), 5);
    }

    /// Guards against a node without gossip that learns of a revision later than after 8 s.
    #[test]
    fn is_due_silent_peers() {
        assert_eq!(fetch_times(|_| false).len(), 60);
        let fetches = fetch_times(|now| now < 40_000);
        let after = fetches.iter().find(|fetch| **fetch > 39_000).unwrap();
        assert!(*after <= 39_000 + 7_000, "{fetches:?}");
        assert!(
            fetches
                .windows(2)
                .filter(|pair| pair[0] > 40_000)
                .all(|pair| pair[1] - pair[0] <= 2_000)
        );
    }

    /// Guards against a node that gets revisions from control only, and still fetches rarely.
    #[test]
    fn is_due_behind() {
        let mut contact = ControlContact::new(Time::ZERO, 0);
        contact.record_gossip(at(0));
        assert!(contact.is_due(at(0)));
        contact.record_fetch(at(0), true);
        assert!(contact.is_due(at(2_000)));
        contact.record_fetch(at(2_000), false);
        contact.record_gossip(at(4_000));
        assert!(!contact.is_due(at(4_100)));
    }

    /// Guards against a node that is cut off from control and reports it later than after a minute
    /// because its peers still respond, reports it after one lost request, or reports it twice.
    #[test]
    fn failed_isolation() {
        let mut contact = ControlContact::new(Time::ZERO, RARE_FETCH_JITTER_MS - 1);
        let mut events = Vec::new();
        for now in (0..120_000).step_by(100) {
            if now % 1_000 == 0 {
                contact.record_gossip(at(now));
            }
            if !contact.is_due(at(now)) {
                continue;
            }
            let is_cut_off = (1_000..80_000).contains(&now);
            let event = match is_cut_off {
                true => contact.record_failure(at(now)),
                false => contact.record_fetch(at(now), false),
            };
            events.extend(event.map(|event| (now, event.name())));
        }
        let names: Vec<&str> = events.iter().map(|(_, name)| *name).collect();
        assert_eq!(names, ["control-unreachable", "control-reachable"], "{events:?}");
        assert!(events[0].0 <= 1_000 + 32_000 + 10_000 + 2_000, "{events:?}");
        assert!(events[1].0 <= 82_000, "{events:?}");
        assert_eq!(contact.record_failure(at(130_000)), None);
        assert_eq!(contact.record_success(at(131_000)), None);
    }
}

//! When to ask control for the configuration, and whether control is reached.

use std::time::Duration;

use arbutuslane_core::time::Time;
use arbutuslane_event::kind::Kind;

/// The time between two requests while nothing else brings the newest revision. With [`FRESH`] it
/// stays below the 8 s within which a revision is in force everywhere.
const FREQUENT: Duration = Duration::from_secs(2);

/// The shortest time between two requests while gossip brings the newest revision: 47 requests a
/// second from 1,400 nodes instead of 700.
const RARE: Duration = Duration::from_secs(28);

/// By how much the time between rare requests differs among nodes, so that nodes that started
/// together do not ask together for ever.
const SPREAD_MS: u64 = 4_000;

/// The age from which an exchange with a peer does not vouch for the newest revision any more.
/// Nodes exchange once a second.
const FRESH: Duration = Duration::from_secs(5);

/// How long requests and reports must fail before control counts as unreachable. An election, or
/// the restart of an instance, is over by then.
const UNREACHABLE_AFTER: Duration = Duration::from_secs(10);

/// What a node knows of its contact with control.
#[derive(Debug)]
pub(crate) struct Contact {
    rare: Duration,
    asked: Option<Time>,
    peer_heard: Option<Time>,
    /// Whether the last answer held a revision that gossip had not brought.
    is_behind: bool,
    last_success: Time,
    failing_since: Option<Time>,
    is_unreachable: bool,
}

impl Contact {
    /// Returns the state of a node that has asked nobody; `hash` spreads the nodes over time.
    pub(crate) fn new(now: Time, hash: u64) -> Self {
        Self {
            rare: RARE + Duration::from_millis(hash % SPREAD_MS),
            asked: None,
            peer_heard: None,
            is_behind: true,
            last_success: now,
            failing_since: None,
            is_unreachable: false,
        }
    }

    /// Takes note of a gossip exchange, which brings the peer's revision.
    pub(crate) fn heard_peer(&mut self, now: Time) {
        self.peer_heard = Some(now);
    }

    /// Returns whether to ask control now.
    pub(crate) fn is_due(&mut self, now: Time) -> bool {
        let is_fresh = self.peer_heard.is_some_and(|heard| now < heard + FRESH);
        let rarely = is_fresh && !self.is_behind && self.failing_since.is_none();
        let interval = if rarely { self.rare } else { FREQUENT };
        if self.asked.is_some_and(|asked| now < asked + interval) {
            return false;
        }
        self.asked = Some(now);
        true
    }

    /// Takes note of an answer to a request for the configuration.
    pub(crate) fn answered(&mut self, now: Time, is_newer: bool) -> Option<Kind> {
        self.is_behind = is_newer;
        self.reached(now)
    }

    /// Takes note that an instance answered; returns the event when none had before.
    pub(crate) fn reached(&mut self, now: Time) -> Option<Kind> {
        let out_ms = millis(now.saturating_sub(self.last_success));
        self.last_success = now;
        self.failing_since = None;
        std::mem::take(&mut self.is_unreachable).then_some(Kind::ControlReachable { out_ms })
    }

    /// Takes note that a request or a report failed; returns the event when control now counts as
    /// unreachable.
    pub(crate) fn failed(&mut self, now: Time) -> Option<Kind> {
        let since = *self.failing_since.get_or_insert(now);
        if self.is_unreachable || now < since + UNREACHABLE_AFTER {
            return None;
        }
        self.is_unreachable = true;
        let silent_ms = millis(now.saturating_sub(self.last_success));
        Some(Kind::ControlUnreachable { silent_ms })
    }

    /// Returns whether no control instance is reached.
    pub(crate) fn is_unreachable(&self) -> bool {
        self.is_unreachable
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Duration::from_millis(ms)
    }

    /// Returns the times in milliseconds of the requests within two minutes, when an exchange with a
    /// peer takes place each second while `gossips`.
    fn requests(gossips: impl Fn(u64) -> bool) -> Vec<u64> {
        let mut contact = Contact::new(Time::ZERO, 0);
        let mut asked = Vec::new();
        for now in (0..120_000).step_by(100) {
            if now % 1_000 == 0 && gossips(now) {
                contact.heard_peer(at(now));
            }
            if contact.is_due(at(now)) {
                asked.push(now);
                assert_eq!(contact.answered(at(now), false), None);
            }
        }
        asked
    }

    /// Guards against 700 requests a second at 1,400 nodes whose peers bring each revision.
    #[test]
    fn is_due_gossip() {
        assert_eq!(requests(|_| true).len(), 5);
    }

    /// Guards against a node that hears from no peer and learns a revision later than after 8 s.
    #[test]
    fn is_due_silent_peers() {
        assert_eq!(requests(|_| false).len(), 60);
        let asked = requests(|now| now < 40_000);
        let after = asked.iter().find(|asked| **asked > 39_000).unwrap();
        assert!(*after <= 39_000 + 7_000, "{asked:?}");
        assert!(
            asked.windows(2).filter(|pair| pair[0] > 40_000).all(|pair| pair[1] - pair[0] <= 2_000)
        );
    }

    /// Guards against a node that finds revisions at control only, and still asks rarely.
    #[test]
    fn is_due_behind() {
        let mut contact = Contact::new(Time::ZERO, 0);
        contact.heard_peer(at(0));
        assert!(contact.is_due(at(0)));
        contact.answered(at(0), true);
        assert!(contact.is_due(at(2_000)));
        contact.answered(at(2_000), false);
        contact.heard_peer(at(4_000));
        assert!(!contact.is_due(at(4_100)));
    }

    /// Guards against a node that is cut off from control and does not say so within a minute although
    /// its peers answer, that says so for one lost request, or that says so twice.
    #[test]
    fn failed_isolation() {
        let mut contact = Contact::new(Time::ZERO, SPREAD_MS - 1);
        let mut events = Vec::new();
        for now in (0..120_000).step_by(100) {
            if now % 1_000 == 0 {
                contact.heard_peer(at(now));
            }
            if !contact.is_due(at(now)) {
                continue;
            }
            let is_cut_off = (1_000..80_000).contains(&now);
            let event = match is_cut_off {
                true => contact.failed(at(now)),
                false => contact.answered(at(now), false),
            };
            events.extend(event.map(|event| (now, event.name())));
        }
        let names: Vec<&str> = events.iter().map(|(_, name)| *name).collect();
        assert_eq!(names, ["control-unreachable", "control-reachable"], "{events:?}");
        assert!(events[0].0 <= 1_000 + 32_000 + 10_000 + 2_000, "{events:?}");
        assert!(events[1].0 <= 82_000, "{events:?}");
        assert_eq!(contact.failed(at(130_000)), None);
        assert_eq!(contact.reached(at(131_000)), None);
    }
}

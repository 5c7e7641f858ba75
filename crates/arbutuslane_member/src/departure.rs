//! Departures of backend servers, which other instances keep for the node that confirmed them.
//!
//! A node confirms that a server drains or has left, and from then on refuses its late announcements.
//! The confirmation binds after a restart of the node too, which may have no disk. So a node has its
//! departures kept by other instances before it confirms them, as far as it reaches any in time
//! ([`Confirmation`]), and after a start it asks them before it believes an announcement
//! ([`Recovery`]). [`Keeper`] is what an instance keeps for others.

use std::time::Duration;

use arbutuslane_core::id::{Incarnation, NodeId, ServerId};
use arbutuslane_core::time::Time;

/// How long a departure is kept. Announcements of the server that were sent before it arrive within
/// seconds.
pub const RETENTION: Duration = Duration::from_secs(60);

/// The number of departures that are kept for one node, the latest ones.
pub const MAX_DEPARTURES: usize = 64;

/// The number of other instances that keep a departure before it is confirmed.
pub const NEEDED_KEEPERS: usize = 2;

/// The number of instances that a node asks after a start before it believes announcements. A departure
/// is sent to all keepers, so that usually any of them has it; what the others send later is applied
/// then.
pub const NEEDED_RESPONSES: usize = 2;

/// The longest wait for [`NEEDED_KEEPERS`]. A server waits about a second for a confirmation, and then
/// leaves without one.
pub const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(600);

/// How long a node that has started waits for [`NEEDED_RESPONSES`]. After it, one is enough.
pub const FULL_RECOVERY_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a node that has started waits for any response. Announcements that were sent before the
/// start have arrived by then.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

/// A server that takes no new work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Departure {
    /// The server.
    pub server: ServerId,
    /// The incarnation of the server that departs, and the latest one that is refused.
    pub incarnation: Incarnation,
    /// How far the departure is.
    pub stage: Stage,
}

/// How far a departure is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// The server finishes its work.
    Draining,
    /// The server is gone.
    Left,
}

/// The departures that an instance keeps for nodes.
#[derive(Debug, Default)]
pub struct Keeper {
    /// In ascending order of the nodes.
    by_node: Vec<(NodeId, Vec<Kept>)>,
}

#[derive(Debug, Clone)]
struct Kept {
    departure: Departure,
    until: Time,
}

impl Keeper {
    /// Keeps departures for a node.
    pub fn keep(&mut self, node: &str, departures: Vec<Departure>, now: Time) {
        self.expire(now);
        let index = match self.by_node.binary_search_by(|(known, _)| known.as_str().cmp(node)) {
            Ok(index) => index,
            Err(index) => {
                self.by_node.insert(index, (node.to_string(), Vec::new()));
                index
            }
        };
        let kept = &mut self.by_node[index].1;
        for departure in departures {
            kept.retain(|known| known.departure != departure);
            kept.push(Kept { departure, until: now + RETENTION });
        }
        kept.drain(..kept.len().saturating_sub(MAX_DEPARTURES));
    }

    /// Returns the departures that are kept for a node.
    pub fn departures(&self, node: &str, now: Time) -> Vec<Departure> {
        let found = self.by_node.binary_search_by(|(known, _)| known.as_str().cmp(node));
        let Ok(index) = found else { return Vec::new() };
        let current = self.by_node[index].1.iter().filter(|kept| now < kept.until);
        current.map(|kept| kept.departure.clone()).collect()
    }

    fn expire(&mut self, now: Time) {
        for (_, kept) in &mut self.by_node {
            kept.retain(|kept| now < kept.until);
        }
        self.by_node.retain(|(_, kept)| !kept.is_empty());
    }
}

/// A departure that a node is about to confirm.
#[derive(Debug, Clone)]
pub struct Confirmation {
    started_at: Time,
    keepers: usize,
    asked: usize,
}

impl Confirmation {
    /// Begins to wait for `asked` instances.
    pub fn new(asked: usize, now: Time) -> Self {
        Self { started_at: now, keepers: 0, asked }
    }

    /// Records that an instance keeps the departure.
    pub fn record_kept(&mut self) {
        self.keepers += 1;
    }

    /// Returns whether the node confirms the departure now: enough instances keep it, or they do not
    /// respond in time.
    pub fn is_due(&self, now: Time) -> bool {
        self.keepers >= NEEDED_KEEPERS.min(self.asked)
            || now >= self.started_at + CONFIRMATION_TIMEOUT
    }
}

/// A node that has started and does not know yet which departures it confirmed before.
#[derive(Debug, Clone, Default)]
pub struct Recovery {
    started_at: Time,
    /// The addresses of the instances that have responded, in ascending order.
    responders: Vec<String>,
}

impl Recovery {
    /// Begins at `now`, the start of the node.
    pub fn new(now: Time) -> Self {
        Self { started_at: now, responders: Vec::new() }
    }

    /// Records that the instance at `address` has sent what it keeps.
    pub fn record_response(&mut self, address: &str) {
        if let Err(index) = self.responders.binary_search_by(|known| known.as_str().cmp(address)) {
            self.responders.insert(index, address.to_string());
        }
    }

    /// Returns whether the instance at `address` has responded.
    pub fn has_responded(&self, address: &str) -> bool {
        self.responders.binary_search_by(|known| known.as_str().cmp(address)).is_ok()
    }

    /// Returns whether the node may believe announcements, with `keepers` being the addresses of the
    /// instances that it knows.
    pub fn is_complete<'a>(&self, keepers: impl IntoIterator<Item = &'a str>, now: Time) -> bool {
        let waited = now.saturating_sub(self.started_at);
        let minimum = match waited {
            waited if waited >= RECOVERY_TIMEOUT => 0,
            waited if waited >= FULL_RECOVERY_TIMEOUT => 1,
            _ => NEEDED_RESPONSES,
        };
        self.responders.len() >= minimum
            || keepers.into_iter().all(|address| self.has_responded(address))
    }
}

//! Departures of backend servers, which other instances keep for the node that confirmed them.
//!
//! A node confirms that a server drains or has left, and from then on refuses its late announcements.
//! The confirmation binds after a restart of the node too, which may have no disk. So a node has its
//! departures kept by other instances before it confirms them ([`Confirmation`]), and after a start it
//! asks them before it believes an announcement ([`Recovery`]). [`Keeper`] is what an instance keeps for
//! others.
//!
//! Where control instances have disks, a departure is confirmed once a quorum of them has it on theirs,
//! so that it outlasts the end of all processes and the loss of as many disks as the fleet bears. A
//! quorum that answers after a start shares an instance with it. Elsewhere, instances keep
//! departures in their memory, and a departure is confirmed after a while also if none responds.

use std::time::Duration;

use arbutuslane_core::id::{Incarnation, NodeId, ServerId};
use arbutuslane_core::time::Time;

/// How long a departure is kept. Announcements of the server that were sent before it arrive within
/// seconds.
pub const RETENTION: Duration = Duration::from_secs(60);

/// The number of departures that are kept for one node, the latest ones.
pub const MAX_DEPARTURES: usize = 64;

/// The number of other instances that keep a departure before it is confirmed, where none has a disk.
pub const NEEDED_KEEPERS: usize = 2;

/// The number of instances that a node asks after a start before it believes announcements, where none
/// has a disk. A departure is sent to all keepers, so that usually any of them has it; what the others
/// send later is applied then.
pub const NEEDED_RESPONSES: usize = 2;

/// The longest wait for enough keepers. A server waits about a second for a confirmation, and then asks
/// again.
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

/// How an instance keeps a departure, or what its response after a start of the node is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Storage {
    /// In its memory.
    Memory,
    /// In its memory; control instances of earlier releases have no other.
    ControlMemory,
    /// On its disk, of which `quorum` keep what the fleet must not forget.
    Disk {
        /// The number of such instances.
        quorum: usize,
    },
}

/// What a node expects of the instances that keep its departures.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// No instance has a disk for departures.
    #[default]
    Memory,
    /// Control instances have disks for departures.
    Disk,
}

/// The instances that have responded about one departure, or since the start of the node.
#[derive(Debug, Clone, Default)]
struct Tally {
    /// In ascending order of the addresses.
    responders: Vec<(String, Storage)>,
}

impl Tally {
    fn record(&mut self, address: &str, storage: Storage) {
        match self.responders.binary_search_by(|(known, _)| known.as_str().cmp(address)) {
            Ok(index) => self.responders[index].1 = storage,
            Err(index) => self.responders.insert(index, (address.to_string(), storage)),
        }
    }

    fn has(&self, address: &str) -> bool {
        self.responders.binary_search_by(|(known, _)| known.as_str().cmp(address)).is_ok()
    }

    fn count(&self, accepts: impl Fn(Storage) -> bool) -> usize {
        self.responders.iter().filter(|(_, storage)| accepts(*storage)).count()
    }

    /// Returns whether a quorum of the instances with disks is among the responders.
    fn has_disk_quorum(&self) -> bool {
        let quorum = self.responders.iter().filter_map(|(_, storage)| match storage {
            Storage::Disk { quorum } => Some(*quorum),
            Storage::Memory | Storage::ControlMemory => None,
        });
        let is_disk = |storage| matches!(storage, Storage::Disk { .. });
        quorum.max().is_some_and(|quorum| self.count(is_disk) >= quorum)
    }

    /// Returns whether `needed` control instances respond and all are of earlier releases.
    fn is_of_earlier_release(&self, needed: usize) -> bool {
        self.count(|storage| matches!(storage, Storage::Disk { .. })) == 0
            && self.count(|storage| storage == Storage::ControlMemory) >= needed
    }
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

    /// Returns all departures that are kept, by node.
    pub fn all(&self, now: Time) -> Vec<(NodeId, Vec<Departure>)> {
        let nodes = self.by_node.iter().map(|(node, _)| node);
        nodes.map(|node| (node.clone(), self.departures(node, now))).collect()
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
    policy: Policy,
    asked: usize,
    keepers: Tally,
}

impl Confirmation {
    /// Begins to wait for `asked` instances.
    pub fn new(policy: Policy, asked: usize, now: Time) -> Self {
        Self { started_at: now, policy, asked, keepers: Tally::default() }
    }

    /// Asks `asked` instances again, from `now` on.
    pub fn restart(&mut self, asked: usize, now: Time) {
        self.started_at = now;
        self.asked = asked;
    }

    /// Records that the instance at `address` keeps the departure.
    pub fn record_kept(&mut self, address: &str, storage: Storage) {
        self.keepers.record(address, storage);
    }

    /// Returns whether the instance at `address` keeps the departure.
    pub fn is_kept_by(&self, address: &str) -> bool {
        self.keepers.has(address)
    }

    /// Returns whether enough instances keep the departure.
    pub fn is_kept(&self) -> bool {
        match self.policy {
            Policy::Memory => self.keepers.count(|_| true) >= NEEDED_KEEPERS.min(self.asked),
            Policy::Disk => self.keepers.has_disk_quorum(),
        }
    }

    /// Returns whether there is nothing to wait for any more: enough instances keep the departure, or
    /// they do not respond in time.
    pub fn is_due(&self, now: Time) -> bool {
        self.is_kept() || now >= self.started_at + CONFIRMATION_TIMEOUT
    }

    /// Returns whether the node confirms the departure once it [is due](Self::is_due). Otherwise it
    /// tells the server to ask again.
    pub fn is_granted(&self) -> bool {
        match self.policy {
            Policy::Memory => true,
            Policy::Disk => self.is_kept() || self.keepers.is_of_earlier_release(NEEDED_KEEPERS),
        }
    }
}

/// A node that has started and does not know yet which departures it confirmed before.
#[derive(Debug, Clone, Default)]
pub struct Recovery {
    started_at: Time,
    policy: Policy,
    responders: Tally,
}

impl Recovery {
    /// Begins at `now`, the start of the node.
    pub fn new(policy: Policy, now: Time) -> Self {
        Self { started_at: now, policy, responders: Tally::default() }
    }

    /// Records that the instance at `address` has sent what it keeps. An instance with a disk that may
    /// lack departures counts as one without.
    pub fn record_response(&mut self, address: &str, storage: Storage) {
        self.responders.record(address, storage);
    }

    /// Returns whether the instance at `address` has responded.
    pub fn has_responded(&self, address: &str) -> bool {
        self.responders.has(address)
    }

    /// Returns whether the node may believe announcements, with `keepers` being the addresses of the
    /// instances that it knows.
    pub fn is_complete<'a>(&self, keepers: impl IntoIterator<Item = &'a str>, now: Time) -> bool {
        let waited = now.saturating_sub(self.started_at);
        if waited >= RECOVERY_TIMEOUT {
            return true;
        }
        let minimum = match waited >= FULL_RECOVERY_TIMEOUT {
            true => 1,
            false => NEEDED_RESPONSES,
        };
        match self.policy {
            Policy::Memory => {
                self.responders.count(|_| true) >= minimum
                    || keepers.into_iter().all(|address| self.has_responded(address))
            }
            Policy::Disk => {
                self.responders.has_disk_quorum() || self.responders.is_of_earlier_release(minimum)
            }
        }
    }
}

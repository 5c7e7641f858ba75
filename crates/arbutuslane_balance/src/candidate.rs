//! What an entry knows about a backend server.

use std::time::Duration;

use arbutuslane_core::id::{DomainName, Incarnation, NodeId, ServerId};

/// Whether a backend server takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Serving {
    /// Takes work.
    Open,
    /// Takes trial requests only.
    Ejected,
    /// Takes no new work.
    Draining,
}

/// A backend server as membership describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub server: ServerId,
    /// Its incarnation; a new one forgets what was measured of the old one.
    pub incarnation: Incarnation,
    /// The node to which it announced itself.
    pub owner: NodeId,
    /// Its failure domain.
    pub domain: DomainName,
    /// The requests that it can run at a time.
    pub slots: u32,
    /// Whether it takes work.
    pub serving: Serving,
}

impl Candidate {
    /// Returns an open server of incarnation 0.
    pub fn new(server: ServerId, owner: &str, domain: &str, slots: u32) -> Self {
        Self {
            server,
            incarnation: 0,
            owner: owner.to_string(),
            domain: domain.to_string(),
            slots,
            serving: Serving::Open,
        }
    }
}

/// The load of a server as its owner reports it on every response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that the server runs.
    pub in_flight: u32,
    /// Requests that wait at the owner.
    pub queued: u32,
    /// Requests that the server can run at a time.
    pub slots: u32,
    /// The recent latency of the request's class at the owner.
    pub latency: Duration,
    /// Whether the server takes work.
    pub serving: Serving,
    /// The share of its full load that the server takes after a cold start, in percent.
    pub ramp_percent: u32,
}

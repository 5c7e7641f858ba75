//! Backend servers and their load as an entry sees them.

use std::time::Duration;

use arbutuslane_core::id::{DomainName, Incarnation, NodeId, ServerId};

/// Which requests a backend server accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Serving {
    /// The server accepts all requests.
    Open,
    /// The server accepts trial requests only.
    Ejected,
    /// The server accepts no new requests.
    Draining,
}

/// A backend server as membership describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The name of the server.
    pub server: ServerId,
    /// The incarnation of the server; measurements of an earlier incarnation are dropped.
    pub incarnation: Incarnation,
    /// The node to which the server announced itself.
    pub owner: NodeId,
    /// The failure domain of the server.
    pub domain: DomainName,
    /// The number of requests that the server can run at a time.
    pub slots: u32,
    /// Which requests the server accepts.
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
    /// The number of requests that the server is running.
    pub in_flight: u32,
    /// The number of requests that are queued at the owner.
    pub queued: u32,
    /// The number of requests that the server can run at a time.
    pub slots: u32,
    /// The recent latency of the request's class at the owner.
    pub latency: Duration,
    /// Which requests the server accepts.
    pub serving: Serving,
    /// The share of its full load that the server accepts during a ramp-up, in percent.
    pub ramp_percent: u32,
}

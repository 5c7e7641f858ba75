//! A caller that sends a bounded open-loop load and checks every response against its request.

mod exchange;
mod load;
mod summary;

pub use load::{Error, run};
pub use summary::{Latency, Summary};

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// The settings of a stand-in caller.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The addresses of the nodes' listeners for callers, used in turn.
    pub nodes: Vec<SocketAddr>,
    /// The host header of requests; the node's address when absent.
    pub host: Option<String>,
    /// The mean requests per second, with exponential gaps between them.
    pub rate: f64,
    /// How long new requests are sent.
    pub duration: Duration,
    /// The most requests in flight; a request that would exceed it is counted as dropped.
    pub max_in_flight: usize,
    /// The weight and path of lookups.
    pub lookups: RequestKind,
    /// The weight and path of bookings; each carries an idempotency key.
    pub bookings: RequestKind,
    /// The weight and path of downloads.
    pub downloads: RequestKind,
    /// The size of each download in bytes.
    pub download_bytes: u64,
    /// The deadline that requests state; the caller gives up one second after it.
    pub deadline: Duration,
    /// The seed of the gaps between requests, their kinds and their bodies.
    pub seed: u64,
    /// How often a booking that was not answered is resent under its key through the next node, and
    /// how often a request that found no connection is sent to the next node.
    pub resends: u32,
    /// The file to which a record of each attempt is appended.
    pub record: Option<PathBuf>,
}

/// One kind of request.
#[derive(Debug, Clone)]
pub struct RequestKind {
    /// The share of this kind among all requests, relative to the other kinds.
    pub weight: f64,
    /// The path of its requests.
    pub path: String,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            nodes: Vec::new(),
            host: None,
            rate: 100.0,
            duration: Duration::from_secs(10),
            max_in_flight: 512,
            lookups: RequestKind { weight: 8.0, path: "/slots".to_string() },
            bookings: RequestKind { weight: 2.0, path: "/bookings".to_string() },
            downloads: RequestKind { weight: 0.0, path: "/download".to_string() },
            download_bytes: 1 << 20,
            deadline: Duration::from_secs(5),
            seed: 1,
            resends: 0,
            record: None,
        }
    }
}
